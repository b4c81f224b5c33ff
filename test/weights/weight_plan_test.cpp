/// @file
/// Tests of src/weights/weight_plan.h.
#include "weights/weight_plan.h"

#include <doctest/doctest.h>

namespace fernmoor::weights {

namespace {

Time at(int64_t milliseconds) {
  return Time(std::chrono::milliseconds(milliseconds));
}

BackendListing engine(const std::string& id, uint64_t version) {
  BackendListing made;
  made.id = id;
  made.weights.push_back(HeldWeights{"m", version});
  return made;
}

}  // namespace

TEST_CASE("engines with the earliest deadline move first, all to the newest version") {
  DesiredWeights desired(WeightBounds{});
  desired.note("m", 2, at(0), at(0));
  desired.note("m", 3, at(2000), at(2000));
  BackendListing leaving = engine("d", 1);
  leaving.isDraining = true;
  const WeightPlan plan =
      planMoves({engine("a", 2), engine("b", 1), engine("c", 3), leaving}, desired, PlanBounds{});
  REQUIRE(plan.moves.size() == 2);
  CHECK(plan.moves[0].engine == "b");
  CHECK(plan.moves[1].engine == "a");
  CHECK(plan.moves[0].version == 3);
  CHECK(plan.moves[1].version == 3);
}

TEST_CASE("the first move starts as late as the last one's deadline allows") {
  DesiredWeights desired(WeightBounds{});
  desired.note("m", 2, at(0), at(0));
  PlanBounds bounds;
  bounds.maxConcurrentMoves = 2;
  bounds.moveTime = std::chrono::milliseconds(800);
  bounds.reserve = std::chrono::milliseconds(2200);
  std::vector<BackendListing> engines;
  engines.reserve(4);
  for (int index = 0; index < 4; ++index) {
    engines.push_back(engine(std::to_string(index), 1));
  }
  CHECK(planMoves(engines, desired, bounds).startBy == at(8000 - 2200 - 2 * 800));
  CHECK_FALSE(planMoves({engine("a", 2)}, desired, bounds).startBy.has_value());
  SUBCASE("so early that one node can order all of them one after the other") {
    bounds.orderTime = std::chrono::milliseconds(700);
    CHECK(planMoves(engines, desired, bounds).startBy ==
          at(8000 - 2200 - 800 - 700 * (static_cast<int64_t>(engines.size()) - 1)));
  }
}

}  // namespace fernmoor::weights
