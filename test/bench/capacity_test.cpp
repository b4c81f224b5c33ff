/// @file
/// Tests of src/bench/capacity.h, slope.h and spread_scenarios.h.
#include "bench/capacity.h"

#include <doctest/doctest.h>

#include "bench/slopes.h"
#include "bench/spread_scenarios.h"

namespace fernmoor::bench {

TEST_CASE("a slope shows its points, its fit and the cost at the target") {
  const Slope slope{"s", "cost", "rows", "us", "table.cpp", {{1, 12}, {2, 14}, {3, 16}}, 10};
  CHECK(slope.atTarget() == doctest::Approx(30));
  const std::string text = toMarkdown(slope);
  CHECK(text.find("Fit: 10 + 2 x, R² 1; at 10: 30 us.") != std::string::npos);
}

TEST_CASE("the capacity table needs every slope and sums up the roles") {
  CHECK(computeCapacity({}).empty());
  RoleCost one;
  one.role = "a";
  one.corePercent = 0.5;
  one.bytes = 2e6;
  RoleCost other = one;
  other.role = "b";
  const std::string table = capacityTable({one, other});
  CHECK(table.find("| **sum** |  |  | 1.000 | 4.00 |") != std::string::npos);
}

TEST_CASE("changes reach all nodes of a small deployment in every scenario") {
  SpreadOptions options;
  options.nodes = 12;
  options.zones = 3;
  options.replaced = 3;
  options.rows = 20;
  for (const SpreadTimes& times : measureTableScenarios(options)) {
    CAPTURE(times.scenario);
    REQUIRE(times.all);
    CHECK(*times.half <= *times.ninetyNine);
    CHECK(*times.ninetyNine <= *times.all);
  }
  for (const SpreadTimes& times : measureMembershipScenarios(options)) {
    CAPTURE(times.scenario);
    CHECK(times.all);
  }
}

}  // namespace fernmoor::bench
