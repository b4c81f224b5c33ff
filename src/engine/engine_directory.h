/// @file
/// What this node knows of all model engines: where they are, what they serve, how loaded they are,
/// which failed lately. Views of the caches are kept elsewhere (cache_view.h).
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "engine/engine_state.h"

namespace fernmoor {

/// An engine as the platform's machine list shows it.
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

  /// Takes the platform's list, which lags: engines that are missing from it are dropped only
  /// where they do not answer either.
  void setAddresses(const std::vector<EngineAddress>& addresses, Time now);
  /// Takes a state report of the engine itself or of its owner. Reports of a lower incarnation, or
  /// with an older load than the one known, are ignored.
  void update(const EngineState& state, Time now);
  /// The engine refused a connection, broke one or stalled: it gets no new work for a time that
  /// doubles with each failure in a row.
  void reportFailure(const EngineId& engine, Time now);
  /// It answered: the count of failures starts anew.
  void reportSuccess(const EngineId& engine);
  /// The engine said that it is another incarnation than the one placed for; it gets no work until
  /// a new report came.
  void reportStale(const EngineId& engine, Incarnation placedFor);
  /// Operators take an engine out of choice, or put it back.
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
    bool reported = false;  ///< A state report came since it was listed or went stale.
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
