/// @file
/// Tests of src/gateway/table_in_force.h.
#include "gateway/table_in_force.h"

#include <doctest/doctest.h>

namespace fernmoor::gateway {

namespace {

TrafficTablePtr version(uint64_t number) {
  auto table = std::make_shared<TrafficTable>();
  table->version = number;
  return table;
}

Time at(int64_t milliseconds) {
  return Time(std::chrono::milliseconds(milliseconds));
}

}  // namespace

TEST_CASE("an older version neither replaces the table nor confirms it") {
  TableInForce inForce;
  CHECK_FALSE(inForce.view().isFresh(at(0), std::chrono::seconds(1)));
  CHECK(inForce.take(version(7), at(100)));
  CHECK_FALSE(inForce.take(version(5), at(900)));
  CHECK(inForce.view().table->version == 7);
  CHECK(inForce.view().confirmedAt == at(100));
}

TEST_CASE("a table is fresh from the start of the latest query that confirmed it") {
  TableInForce inForce;
  inForce.take(version(7), at(100));
  inForce.confirm(7, at(400));
  inForce.confirm(7, at(300));
  CHECK(inForce.view().confirmedAt == at(400));
  inForce.confirm(6, at(9000));
  CHECK(inForce.view().confirmedAt == at(400));
  CHECK(inForce.view().isFresh(at(1400), std::chrono::seconds(1)));
  CHECK_FALSE(inForce.view().isFresh(at(1401), std::chrono::seconds(1)));
}

TEST_CASE("a slow answer with a new version does not move the confirmation time back") {
  TableInForce inForce;
  inForce.take(version(7), at(500));
  inForce.take(version(8), at(450));
  CHECK(inForce.view().table->version == 8);
  CHECK(inForce.view().confirmedAt == at(500));
}

}  // namespace fernmoor::gateway
