/// @file
/// Tests of src/bench/table_spread.h and src/bench/table_cost.h at a small size.
#include <doctest/doctest.h>

#include "bench/table_cost.h"
#include "bench/table_spread.h"

namespace fernmoor::bench {

TEST_CASE("in every situation a change is in force everywhere in the end and nothing reverts") {
  for (const TableSpreadCase& each : measureTableSpread(6, 3, 1)) {
    CAPTURE(each.situation);
    CHECK(each.all >= 0);
    CHECK(each.all < 10000);
    CHECK(each.reversals == 0);
  }
}

TEST_CASE("the table's cost is measured for each part") {
  const TableCost cost = measureTableCost(200);
  CHECK(cost.heapBytes > 0);
  CHECK(cost.transferBytes > 0);
}

}  // namespace fernmoor::bench
