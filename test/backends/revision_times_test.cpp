/// @file
/// Tests of src/backends/revision_times.h: what is written late is never dated after it was
/// written.
#include "backends/revision_times.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

constexpr Time at(int64_t milliseconds) {
  return Time(std::chrono::seconds(1000)) + std::chrono::milliseconds(milliseconds);
}

}  // namespace

TEST_CASE("an object was written after each instant at which the store had not come as far") {
  RevisionTimes times;
  CHECK_FALSE(times.notBefore(5).has_value());
  CHECK_FALSE(times.newest().has_value());
  times.note({10, at(0)});
  times.note({10, at(600)});
  times.note({14, at(1200)});
  CHECK_FALSE(times.notBefore(10).has_value());  // It was there before anything is known.
  CHECK(times.notBefore(11) == at(600));
  CHECK(times.notBefore(14) == at(600));
  CHECK(times.notBefore(15) == at(1200));
  CHECK(times.newest()->revision == 14);
  CHECK(times.newest()->at == at(1200));

  SUBCASE("also where that is told later, by a node that knew less or more") {
    times.note({12, at(500)});
    CHECK(times.notBefore(13) == at(600));
    times.note({12, at(900)});
    CHECK(times.notBefore(13) == at(900));
    CHECK(times.notBefore(12) == at(600));
    times.note({12, at(1300)});
    CHECK(times.notBefore(15) == at(1300));
    CHECK(times.newest()->revision == 12);
  }
  SUBCASE("and the oldest are forgotten") {
    for (int call = 0; call < 200; ++call) {
      times.note({static_cast<uint64_t>(20 + call), at(2000 + call)});
    }
    CHECK_FALSE(times.notBefore(15).has_value());
    CHECK(times.notBefore(219) == at(2198));
  }
}

}  // namespace fernmoor
