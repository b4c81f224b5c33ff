/// @file
/// Tests of src/backends/watch_pace.h: the number of calls does not grow with the number of
/// changes.
#include "backends/watch_pace.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

constexpr Time kStart{std::chrono::seconds(50)};

/// @return the number of calls of a watch in 10 s if a change happens every `changeEvery`.
int asksInTenSeconds(Duration changeEvery) {
  WatchRateLimiter pace;
  Time now = kStart;
  int asks = 0;
  while (now < kStart + std::chrono::seconds(10)) {
    const Duration sinceStart = now - kStart;
    now += changeEvery - Duration(sinceStart.count() % changeEvery.count());
    now += pace.afterAnswer(now);
    ++asks;
  }
  return asks;
}

}  // namespace

TEST_CASE("a watch asks a few times a second, however much changes") {
  CHECK(asksInTenSeconds(std::chrono::milliseconds(12)) <= 68);
  CHECK(asksInTenSeconds(std::chrono::milliseconds(1)) <= 68);
}

TEST_CASE("a change after a quiet time is not held up") {
  WatchRateLimiter pace;
  CHECK(pace.afterAnswer(kStart) == Duration(0));
  CHECK(pace.afterAnswer(kStart + kWatchInterval) == Duration(0));
  CHECK(pace.afterAnswer(kStart + std::chrono::seconds(5)) == Duration(0));
  CHECK(asksInTenSeconds(std::chrono::milliseconds(650)) == 16);
}

TEST_CASE("the second of two changes at once waits for less than the interval") {
  WatchRateLimiter pace;
  pace.afterAnswer(kStart);
  const Duration pause = pace.afterAnswer(kStart + std::chrono::milliseconds(10));
  CHECK(pause == kWatchInterval - std::chrono::milliseconds(10));
}

}  // namespace fernmoor
