/// @file
/// Moves engines to new weights. Every node runs a WeightMover. The node that wrote the ledger last
/// is the leader and stays it while its process runs, independent of its other roles. The other
/// nodes try to take over, in the order of their rank, when moves are due and the ledger has not
/// changed for a while. Leadership ends only when another node takes it or on a handover at
/// shutdown, so moves continue while any node runs.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "backends/backend_set.h"
#include "backends/wanted_weights.h"
#include "common/random.h"
#include "common/time.h"
#include "weights/move_ledger.h"
#include "weights/weight_plan.h"

namespace fernmoor::weights {

struct MoverOptions {
  std::string node;                     ///< This node's name, written to the ledger as holder.
  Duration leaderChangeDelay{3000000};  ///< Minimum time between orders of two nodes to one engine.
  uint64_t randomSeed = 0;
};

/// Dependencies of the mover; all outlive it.
struct MoverServices {
  const Clock& clock;
  BackendSet& engines;
  DesiredWeights& wanted;
  LedgerView& view;
  LedgerStore& store;
  EngineOrders& orders;
};

/// When this node takes over from a leader that stopped writing.
struct TakeoverPosition {
  bool followsLedger = true;  ///< It watches the ledger; otherwise it reads it before taking over.
  size_t rank = 0;            ///< Number of nodes that try to take over earlier.
};

/// Not thread-safe: one thread calls step().
class WeightMover {
 public:
  WeightMover(MoverServices services, MoverOptions options);

  /// Tracks running moves and starts those that are due.
  /// @return the longest time to wait before the next call.
  Duration step(const TakeoverPosition& position = {});
  /// @return whether this node is the leader, as far as it knows.
  bool isLeader() const { return services_.view.holder() == options_.node; }
  /// Clears the holder in the ledger so that another node can take over earlier. Call before this
  /// node stops, and while it does not reach the engines.
  void handOverLeadership();

 private:
  struct ActiveMove {
    std::string model;
    uint64_t version = 0;
    Time orderedAt;
    Time nextPollAt;
    uint64_t incarnation = 0;  ///< Of the engine that was ordered.
  };
  struct Candidate {
    PlannedMove move;
    EngineReport report;
  };

  /// Why no order is sent although engines have old weights.
  enum class WaitReason {
    kNotDue,
    kMoveLimit,
    kNotLeader,
    kNoEngineAvailable,
    kLedgerWriteFailed,
    kStoreRestored,
    kNone
  };

  static const char* descriptionOf(WaitReason why);
  /// Logs why engines with old weights are not moved, each time the reason changes.
  void logWaitReason(WaitReason why, const WeightPlan& plan);
  void trackMoves(Time now);
  /// Fetches the engine's report and records its start time.
  Result<EngineReport> reportOf(const std::string& engine, const std::string& model);
  /// @return whether the incarnation that got the order is still listed and not draining.
  bool isStillRunning(const std::string& engine, const ActiveMove& move) const;
  uint64_t listedVersion(const std::string& engine, const std::string& model) const;
  void pollProgress(const std::string& engine, ActiveMove& move);
  bool mayLead(const ObservedLedger& seen, const WeightPlan& plan, const TakeoverPosition& position,
               Time now) const;
  /// Reads the ledger if this node does not watch it.
  /// @return whether the ledger is the same as when it was last seen.
  bool isLedgerUnchanged(const ObservedLedger& seen, const TakeoverPosition& position);
  /// @return whether orders may be in effect that are missing from the ledger because the store was
  ///         restored from an old copy. Which node sent them, and to which engines, is unknown.
  bool mayBeMissingMoves(const Ledger& ledger, Time now) const;
  bool isBlockedByOtherNode(const std::string& engine, const Ledger& ledger, Time now) const;
  std::vector<Candidate> pickCandidates(const Ledger& ledger, const WeightPlan& plan, size_t room);
  std::optional<uint64_t> writeIntent(Ledger ledger, const std::vector<Candidate>& candidates);
  std::optional<uint64_t> resolveUnknownWrite(const Ledger& intended);
  /// @return the number of orders sent before the intent was too old.
  size_t sendOrders(const std::vector<Candidate>& candidates, uint64_t fence, Time intendedAt);
  void learnMoveTime(Duration took);
  /// @param took time in which `count` orders were sent.
  void learnOrderTime(Duration took, size_t count);
  static size_t maxConcurrentMoves(const std::vector<BackendListing>& listings);

  MoverServices services_;
  MoverOptions options_;
  Random random_;
  Duration takeoverDelay_;
  PlanBounds bounds_;
  std::map<std::string, ActiveMove> activeMoves_;
  std::map<std::string, Time> skipUntil_;        ///< Engines that recently did not answer.
  WaitReason loggedReason_ = WaitReason::kNone;  ///< The reason logged last.
};

}  // namespace fernmoor::weights
