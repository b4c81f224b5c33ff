/// @file
/// Tests of src/backends/standstills.h: news that came while a process stood still are not dated by
/// the moment at which they are read.
#include "backends/standstills.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

constexpr Time at(int64_t milliseconds) {
  return Time(std::chrono::seconds(1000)) + std::chrono::milliseconds(milliseconds);
}

}  // namespace

TEST_CASE("a process that runs steadily has run until now") {
  Standstills standstills;
  CHECK(standstills.ranUntil(at(0)) == at(0));
  for (int64_t tick = 0; tick <= 2000; tick += 100) {
    standstills.tick(at(tick));
  }
  CHECK(standstills.ranUntil(at(2050)) == at(2050));
  CHECK(standstills.ranUntil(at(2400)) == at(2400));
}

TEST_CASE("after a standstill news date from its beginning until what waited has been read") {
  Standstills standstills;
  standstills.tick(at(0));
  standstills.tick(at(100));

  SUBCASE("before the thread that ticks runs again") {
    CHECK(standstills.ranUntil(at(4000)) == at(100));
  }
  SUBCASE("and after it does") {
    standstills.tick(at(4000));
    CHECK(standstills.ranUntil(at(4001)) == at(100));
    standstills.tick(at(4500));
    CHECK(standstills.ranUntil(at(4600)) == at(100));
    standstills.tick(at(5000));
    CHECK(standstills.ranUntil(at(5001)) == at(5001));
  }
}

}  // namespace fernmoor
