/// @file
/// Directory of all model engines known to this node: address, model, load and recent failures.
/// Cache views are kept separately (cache_view.h).
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "engine/engine_state.h"

namespace fernmoor {

/// An engine's entry in the platform's machine list.
struct EngineAddress {
  EngineId id;
  ZoneId zone;
  SocketAddress address;
  bool leaving = false;
};

/// Thread-safe.
class EngineDirectory {
 public:
  explicit EngineDirectory(const Knobs& knobs) : knobs_(knobs) {}

  /// Applies the platform's list, which lags: engines missing from it are dropped only if they
  /// do not answer either.
  void setAddresses(const std::vector<EngineAddress>& addresses, Time now);
  /// Applies a state report from the engine itself or from its owner. Reports of a lower
  /// incarnation, or with an older load than the one known, are ignored.
  void update(const EngineState& state, Time now);
  /// The engine refused a connection, broke one or stalled: it gets no new work for a time that
  /// doubles with each failure in a row.
  void reportFailure(const EngineId& engine, Time now);
  /// The engine answered: resets its failure count.
  void reportSuccess(const EngineId& engine);
  /// The engine reported another incarnation than the request was placed for; it gets no work until
  /// a new report arrives.
  void reportStale(const EngineId& engine, Incarnation placedFor);
  /// Excludes an engine from new work at an operator's request, or readmits it.
  void setDrained(const EngineId& engine, bool drained);

  /// @return engines that may get new work for the model and adapter now.
  std::vector<EngineState> candidates(const ModelId& model, const AdapterId& adapter,
                                      Time now) const;
  /// @return every engine known, with its status as of now.
  std::vector<EngineState> all(Time now) const;
  std::optional<EngineState> find(const EngineId& engine, Time now) const;

 private:
  struct Entry {
    EngineState state;
    bool reported = false;  ///< A state report arrived since it was listed or went stale.
    bool leaving = false;
    bool drained = false;
    int64_t failures = 0;
    Time suspectUntil;
    Time lastReport;
  };

  EngineStatus statusOf(const Entry& entry, Time now) const;
  static bool serves(const EngineState& state, const ModelId& model, const AdapterId& adapter);
  static EngineState stateOf(const Entry& entry, EngineStatus status);

  const Knobs knobs_;
  mutable RankedMutex mutex_{LockRank::kEngines};
  std::map<EngineId, Entry> entries_;
};

}  // namespace fernmoor
