/// @file
/// Tests of src/backends/watch_pace.h: the number of calls does not grow with the number of
/// changes.
#include "backends/watch_pace.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

constexpr Time kStart{std::chrono::seconds(50)};

/// @return the number of calls of a watch in 10 s if a change happens every `changeEvery`.
int callsInTenSeconds(Duration changeEvery) {
  WatchRateLimiter limiter;
  Time now = kStart;
  int calls = 0;
  while (now < kStart + std::chrono::seconds(10)) {
    const Duration sinceStart = now - kStart;
    now += changeEvery - Duration(sinceStart.count() % changeEvery.count());
    now += limiter.afterAnswer(now);
    ++calls;
  }
  return calls;
}

}  // namespace

TEST_CASE("a watch makes at most 68 calls in 10 s at any rate of changes") {
  CHECK(callsInTenSeconds(std::chrono::milliseconds(12)) <= 68);
  CHECK(callsInTenSeconds(std::chrono::milliseconds(1)) <= 68);
}

TEST_CASE("a change after an idle interval is not delayed") {
  WatchRateLimiter limiter;
  CHECK(limiter.afterAnswer(kStart) == Duration(0));
  CHECK(limiter.afterAnswer(kStart + kWatchInterval) == Duration(0));
  CHECK(limiter.afterAnswer(kStart + std::chrono::seconds(5)) == Duration(0));
  CHECK(callsInTenSeconds(std::chrono::milliseconds(650)) == 16);
}

TEST_CASE("the second of two consecutive changes waits for the rest of the interval") {
  WatchRateLimiter limiter;
  limiter.afterAnswer(kStart);
  const Duration pause = limiter.afterAnswer(kStart + std::chrono::milliseconds(10));
  CHECK(pause == kWatchInterval - std::chrono::milliseconds(10));
}

}  // namespace fernmoor
