/// @file
/// Tests of src/sim/event_queue.h.
#include "sim/event_queue.h"

#include <doctest/doctest.h>

#include <vector>

namespace fernmoor::sim {

TEST_CASE("events run by time, and in order of scheduling at the same instant") {
  VirtualClock clock;
  EventQueue queue(clock);
  std::vector<int> ran;
  const Time start = clock.now();
  queue.schedule(start + Duration(20), [&] { ran.push_back(3); });
  queue.schedule(start + Duration(10), [&] {
    ran.push_back(1);
    queue.schedule(start, [&] { ran.push_back(2); });
  });
  queue.schedule(start + Duration(20), [&] { ran.push_back(4); });
  queue.schedule(start + Duration(31), [&] { ran.push_back(5); });
  queue.runUntil(start + Duration(30));
  CHECK(ran == std::vector<int>{1, 2, 3, 4});
  CHECK(clock.now() == start + Duration(30));
  CHECK(queue.size() == 1);
}

TEST_CASE("running until a condition stops at the event that makes it hold") {
  VirtualClock clock;
  EventQueue queue(clock);
  int count = 0;
  for (int index = 1; index <= 5; ++index) {
    queue.scheduleAfter(Duration(index), [&] { ++count; });
  }
  const Time start = clock.now();
  CHECK(queue.runUntil(start + Duration(10), [&] { return count == 3; }));
  CHECK(clock.now() == start + Duration(3));
  CHECK_FALSE(queue.runUntil(start + Duration(10), [&] { return count == 9; }));
  CHECK(clock.now() == start + Duration(10));
}

}  // namespace fernmoor::sim
