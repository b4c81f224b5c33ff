/// @file
/// Serves one request: chooses a back end, sends the request on as it came, passes the answer back
/// as it comes, and decides what happens when a back end refuses, fails, breaks off or falls
/// silent. Whether a request may have run decides everything: one that may run at most once is
/// never sent again unless the back end vouches that it did not run.
#pragma once

#include <memory>
#include <string>

#include "backends/backend_set.h"
#include "backends/wanted_weights.h"
#include "common/log_budget.h"
#include "common/metrics.h"
#include "common/time.h"
#include "gateway/backend_protocol.h"
#include "gateway/byte_budget.h"
#include "gateway/caller_channel.h"
#include "gateway/connection_pool.h"
#include "gateway/cut_off_runs.h"
#include "gateway/incoming_request.h"
#include "gateway/outcome_log.h"
#include "gateway/part_memory.h"
#include "gateway/request_quarantine.h"
#include "gateway/return_times.h"
#include "gateway/second_send_budget.h"
#include "gateway/send_planner.h"
#include "gateway/table_in_force.h"
#include "gateway/tenant_limits.h"

namespace fernmoor::gateway {

/// What the forwarder works with; all outlive it.
struct ForwarderServices {
  const Clock& clock;
  TableInForce& table;
  BackendSet& backends;
  ConnectionPool& connections;
  SecondSendBudget& budget;
  const BackendProtocol& protocol;
  const DesiredWeights& wanted;
  PartHints& parts;
  EngineLoads& loads;
  TenantLimits& limits;
  RequestQuarantine& quarantine;
  CutOffRuns& cutOffRuns;
  Metrics& metrics;
  ByteBudget& heldBytes;  ///< For answers that are held until they are whole.
};

struct ForwarderOptions {
  std::string zone;
  /// Requests with a key are sent on only while the table is proven to be at most this old.
  Duration keyFreshness{4500000};
  uint64_t randomSeed = 0;
  /// Silence after which a request that may run again is sent elsewhere.
  Duration silenceBeforeSecondSend{1500000};
};

/// Lines on what back ends state that can't be read.
inline constexpr LogBudgetBounds kOddStatementLines{0.2, 5};

/// Thread-safe: serves many requests at once.
class Forwarder {
 public:
  Forwarder(ForwarderServices services, ForwarderOptions options);

  /// Serves the request to its end; the caller has its answer, or its broken connection, then.
  void serve(const IncomingRequest& request, CallerChannel& caller);

 private:
  friend class RequestRun;

  ForwarderServices services_;
  ForwarderOptions options_;
  SendPlanner planner_;
  OutcomeLog outcomeLog_;
  LogBudget oddStatementLog_{kOddStatementLines};
  ReturnTimes returnTimes_;
};

}  // namespace fernmoor::gateway
