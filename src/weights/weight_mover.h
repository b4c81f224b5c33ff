/// @file
/// Moves engines to new weights. Every node runs one; the node that wrote to the ledger last goes
/// on as long as its process lives, whatever other duties come and go, and the others step in where
/// moves are due and the ledger stands still, one after the other. So a turn is laid down only
/// where somebody else takes it up, and moves go on while any process lives.
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
  std::string node;             ///< This node's name, as the holder of orders.
  Duration orderTurn{3000000};  ///< Between the orders of two nodes to one engine.
  uint64_t randomSeed = 0;
};

/// What the mover works with; all outlive it.
struct MoverServices {
  const Clock& clock;
  BackendSet& engines;
  WantedWeights& wanted;
  LedgerView& view;
  LedgerStore& store;
  EngineOrders& orders;
};

/// How near this node is to the turn while another node has it.
struct MoverPlace {
  bool followsLedger = true;  ///< It is shown each change of the ledger; else it reads it first.
  size_t rank = 0;            ///< So many nodes step in earlier.
};

/// Not thread-safe: one thread calls step().
class WeightMover {
 public:
  WeightMover(MoverServices services, MoverOptions options);

  /// Does what is due. @return when to call again at the latest.
  Duration step(const MoverPlace& place = {});
  /// @return whether this node is the one that moves engines, as far as it knows.
  bool holdsTurn() const { return services_.view.holder() == options_.node; }
  /// Lets another node go on at once, before this one stops.
  void handOver();

 private:
  struct UnderWay {
    std::string model;
    uint64_t version = 0;
    Time since;
    Time askAt;
    uint64_t incarnation = 0;  ///< Of the engine that was ordered.
  };
  struct Candidate {
    PlannedMove move;
    EngineReport report;
  };

  /// Why no order is given though engines are behind.
  enum class Waiting {
    kUntilDue,
    kForMoves,
    kForTurn,
    kForEngines,
    kForLedger,
    kForLostMoves,
    kNot
  };

  static const char* phraseOf(Waiting why);
  /// Tells why engines that are behind are not moved, whenever that changes.
  void tell(Waiting why, const WeightPlan& plan);
  void followMoves(Time now);
  /// @return the engine's report; what it tells of its start is noted.
  Result<EngineReport> reportOf(const std::string& engine, const std::string& model);
  /// @return whether the engine that was ordered has not ended since.
  bool stillLives(const std::string& engine, const UnderWay& move) const;
  uint64_t listedVersion(const std::string& engine, const std::string& model) const;
  void askWhetherDone(const std::string& engine, UnderWay& move);
  bool isMyTurn(const SeenLedger& seen, const WeightPlan& plan, const MoverPlace& place,
                Time now) const;
  /// Reads the ledger where this node isn't shown it.
  /// @return whether it stands as it was seen last.
  bool standsStill(const SeenLedger& seen, const MoverPlace& place);
  /// @return whether orders may count still that the ledger lacks, as the store came back from an
  ///         old copy; whose they were nobody can tell any more.
  bool mayLackMoves(const Ledger& ledger, Time now) const;
  bool isLeftAlone(const std::string& engine, const Ledger& ledger, Time now) const;
  std::vector<Candidate> pickCandidates(const Ledger& ledger, const WeightPlan& plan, size_t room);
  std::optional<uint64_t> writeIntent(Ledger ledger, const std::vector<Candidate>& candidates);
  std::optional<uint64_t> resolveUnknownWrite(const Ledger& intended);
  void giveOrders(const std::vector<Candidate>& candidates, uint64_t fence, Time intendedAt);
  void learnMoveTime(Duration took);
  static size_t atOnce(const std::vector<BackendListing>& listings);

  MoverServices services_;
  MoverOptions options_;
  Random random_;
  Duration stepInDelay_;
  PlanBounds bounds_;
  std::map<std::string, UnderWay> underWay_;
  std::map<std::string, Time> skipUntil_;  ///< Engines that did not answer lately.
  Waiting told_ = Waiting::kNot;           ///< What tell() was told last.
};

}  // namespace fernmoor::weights
