/// @file
/// Failure detector of this node for its own links: whether it can reach engines at all. One engine
/// that crashed, or is silent for a moment, must not look like a lost link, nor the other way
/// round: once connections to an engine fail, a few others that have not failed are probed, and
/// only if these fail as well the node counts as partitioned. It is probed at a low rate from then
/// on, until an engine takes a connection again.
#pragma once

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "backends/backend_set.h"
#include "common/random.h"
#include "common/time.h"

namespace fernmoor::gateway {

/// What this node reaches of the engines.
enum class ReachState {
  kReached,           ///< As far as is known, new connections succeed.
  kNoNewConnections,  ///< New connections fail, and established ones still carry data.
  kPartitioned,       ///< New connections fail, and nothing arrives on established ones.
};

/// @return a phrase for log lines.
const char* phraseOf(ReachState state);

/// What the checks so far say.
struct ReachEvidence {
  size_t unreached = 0;  ///< Engines to which connections failed since the last one that succeeded.
  Time lastFailure;      ///< Of a connection.
  Time lastConnected;    ///< Newest connection that succeeded.
  Time lastHeard;        ///< Newest data from any engine.
};

/// @return whether other engines have to be probed now: a connection failed since the last one that
///         succeeded and, if it was to a single engine, nothing arrived from the others since.
bool needsWitnesses(const ReachEvidence& evidence);

/// Thread-safe.
class EngineReach {
 public:
  /// Connects to an engine. @return whether it took the connection within some tens of ms.
  using Probe = std::function<bool(const BackendListing&)>;

  /// Called with whether new connections to engines fail, each time that this changes.
  using OnChange = std::function<void(bool)>;

  EngineReach(const Clock& clock, const BackendSet& backends, Probe probe, OnChange onChange,
              uint64_t randomSeed)
      : clock_(clock),
        backends_(backends),
        probe_(std::move(probe)),
        onChange_(std::move(onChange)),
        random_(randomSeed) {}

  /// A new connection to an engine succeeded.
  void noteConnected();
  /// A new connection to the engine failed.
  void noteUnreached(const std::string& engine);
  /// An engine sent data.
  void noteHeard();

  ReachState state() const;
  /// @return whether an engine took a connection or sent data at or after that time.
  bool isProvenSince(Time at) const;
  /// @return whether an engine sent data at or after that time.
  bool isHeardSince(Time at) const;
  /// @return time since an engine took a connection or sent data.
  Duration sinceProof() const {
    return clock_.now() - std::max(lastConnected_.load(), lastHeard_.load());
  }
  /// Finds out whether this node reaches another engine, if that is not proven since. Blocks for
  /// the probes of a few engines at most.
  /// @param engine the one in question, which does not count.
  bool reachesAnotherThan(const std::string& engine, Time since);
  /// Finds out whether this node reaches another engine in the zone of this one. If a zone is cut
  /// off, all engines there live on and all links to them break, while those to engines in other
  /// zones work. Without another engine in the zone, any other engine counts. Blocks for the probes
  /// of a few engines at most.
  /// @param engine the one in question, which does not count.
  bool reachesNeighbourOf(const BackendListing& engine, Time since);
  /// As reachesNeighbourOf(). @return whether this node reaches engines, but none in that zone.
  bool isZoneCutOff(const BackendListing& engine, Time since) {
    return !reachesNeighbourOf(engine, since) && reachesAnotherThan(engine.id, since);
  }

  /// Blocks until there is something to check.
  void waitForWork();
  /// Checks it; to be called every `kStep`. Blocks while it probes.
  void step();

  /// Interval between checks (50 ms).
  static constexpr Duration kStep{50000};
  /// An engine that sent data within this time shows that established connections work (1 s).
  static constexpr Duration kHeardWindow{1000000};

 private:
  /// Result of the latest check of a zone.
  struct ZoneCheck {
    Time at;
    bool isReached = false;
  };

  ReachEvidence evidence() const;
  /// @return a generator for one draw of engines.
  Random drawRandom();
  /// Probes up to `count` engines that accept requests, other than those left out.
  /// @return whether one of them took the connection; false also if there is none to probe.
  bool reachesAnyBut(const std::set<std::string>& leftOut, size_t count);
  /// Probes the engines in turn until one takes the connection.
  bool reachesAnyOf(const std::vector<BackendListing>& engines);
  void declareLost();

  const Clock& clock_;
  const BackendSet& backends_;
  const Probe probe_;
  const OnChange onChange_;
  std::atomic<bool> newConnectionsFail_{false};
  std::atomic<bool> hasFailures_{false};
  std::atomic<Time> lastConnected_{Time()};
  std::atomic<Time> lastHeard_{Time()};
  mutable std::mutex mutex_;
  std::condition_variable failed_;
  std::set<std::string> unreached_;  ///< Since the last connection that succeeded.
  Time lastFailure_;
  Time lostAt_;
  Time nextProbeAt_;
  std::map<std::string, ZoneCheck> zoneChecks_;  ///< By zone.
  Random random_;                                ///< Guarded by `mutex_`.
};

}  // namespace fernmoor::gateway
