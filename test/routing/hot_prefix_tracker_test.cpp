/// @file
/// Tests of src/routing/hot_prefix_tracker.h.
#include "routing/hot_prefix_tracker.h"

#include <doctest/doctest.h>

namespace fernmoor {

TEST_CASE("a prefix gains homes as its request rate rises and loses them as it falls") {
  Knobs knobs;
  knobs.hotPrefixRequestsPerHome = 20;
  HotPrefixTracker tracker(knobs);
  Time now{Duration(0)};
  CHECK(tracker.countRequest(1, now) == 1);
  for (int request = 0; request < 1000; ++request) {
    now += Duration(10000);  // 100 requests per second.
    tracker.countRequest(1, now);
  }
  CHECK(tracker.rate(1, now) == doctest::Approx(100).epsilon(0.05));
  CHECK(tracker.homes(1, now) >= 5);
  CHECK(tracker.homes(2, now) == 1);
  CHECK(tracker.homes(1, now + Duration(20000000)) == 1);
}

TEST_CASE("the tracker stays within its size limit and keeps the hot prefix") {
  Knobs knobs;
  knobs.hotPrefixEntries = 16;
  HotPrefixTracker tracker(knobs);
  const Time now{Duration(0)};
  for (uint64_t prefix = 1000; prefix < 2000; ++prefix) {
    tracker.countRequest(1, now);
    tracker.countRequest(prefix, now);
    REQUIRE(tracker.size() <= 16);
  }
  CHECK(tracker.rate(1, now) > 300);
}

}  // namespace fernmoor
