/// @file
/// Tests of src/common/time.h.
#include "common/time.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

Time bootTime() {
  timespec instant{};
  REQUIRE(clock_gettime(CLOCK_BOOTTIME, &instant) == 0);
  return Time(duration_cast<Duration>(std::chrono::seconds(instant.tv_sec) +
                                      std::chrono::nanoseconds(instant.tv_nsec)));
}

}  // namespace

TEST_CASE("the machine's clock counts the time for which it was suspended") {
  const Time before = bootTime();
  const Time now = SystemClock().now();
  CHECK(before <= now);
  CHECK(now <= bootTime());
}

}  // namespace fernmoor
