/// @file
/// What a node does beside requests, many times a second: follows the engines it owns, tells
/// admission the engines' capacity, hands out queue decisions, and keeps the measures up to date.
#pragma once

#include <mutex>
#include <vector>

#include "common/class_rates.h"
#include "common/metrics.h"
#include "node/control_plane.h"
#include "node/engine_knowledge.h"
#include "node/engine_monitor.h"
#include "node/http_front.h"
#include "node/request_gate.h"

namespace fernmoor {

/// Rates for operators are those of the latest whole interval of this length.
constexpr Duration kRateInterval{10000000};

/// runOnce() is called by one thread; latestRates() by any.
class Housekeeping {
 public:
  /// All references outlive this object.
  Housekeeping(ControlPlane& control, EngineDirectory& engines, EngineMonitor& monitor,
               EngineKnowledge& knowledge, RequestGate& gate, Metrics& metrics, const Table& table,
               const Clock& clock, const Knobs& knobs);

  void runOnce(int64_t openRequests);
  std::vector<ClassRates> latestRates() const;

 private:
  void followDuties();
  void tellCapacity();
  void tellCapacity(const ModelId& model, Time now);
  void measureNode(int64_t openRequests);
  void measureControl();
  void measureRates();

  ControlPlane& control_;
  EngineDirectory& engines_;
  EngineMonitor& monitor_;
  EngineKnowledge& knowledge_;
  RequestGate& gate_;
  Metrics& metrics_;
  const Table& table_;
  const Clock& clock_;
  const Knobs knobs_;
  uint64_t countedSent_ = 0;
  uint64_t countedReceived_ = 0;
  std::vector<ClassTotals> lastTotals_;
  Time ratesAt_;
  mutable std::mutex ratesMutex_;
  std::vector<ClassRates> latestRates_;  ///< Guarded by ratesMutex_.
};

}  // namespace fernmoor
