/// @file
/// Tests of src/gateway/pending_work.h: the queue ahead of a request at an engine, and expiry.
#include "gateway/pending_work.h"

#include <doctest/doctest.h>

namespace fernmoor::gateway {

namespace {

constexpr Time kStart{std::chrono::seconds(100)};
constexpr uint64_t kBound = 12000;
constexpr EngineRoom kNoRoomKnown;

PendingRequest requestOf(uint64_t owner, uint32_t id, uint64_t tokens) {
  return PendingRequest{owner, id, EngineDemand{tokens, tokens, std::chrono::seconds(3)}};
}

}  // namespace

TEST_CASE("requests are granted at an engine until its pending tokens exceed the bound") {
  PendingWork work;
  const LoadAnswer first = work.reserve(7, requestOf(1, 1, 9000), kNoRoomKnown, kBound, kStart);
  CHECK(first.isGranted);
  CHECK(first.pendingTokens == 0);
  CHECK(work.reserve(7, requestOf(2, 1, 9000), kNoRoomKnown, kBound, kStart).isGranted);
  const LoadAnswer third = work.reserve(7, requestOf(3, 1, 9000), kNoRoomKnown, kBound, kStart);
  CHECK_FALSE(third.isGranted);
  CHECK(third.pendingTokens == 18000);
  CHECK(work.reserve(8, requestOf(3, 2, 9000), kNoRoomKnown, kBound, kStart).isGranted);
}

TEST_CASE("a release removes only the request with that owner and id") {
  PendingWork work;
  work.reserve(7, requestOf(1, 5, 9000), kNoRoomKnown, kBound, kStart);
  work.reserve(7, requestOf(2, 5, 4000), kNoRoomKnown, kBound, kStart);
  work.release(7, 1, 5, kStart);
  work.release(7, 1, 5, kStart);
  work.release(9, 2, 5, kStart);
  CHECK(work.reserve(7, requestOf(3, 1, 1), kNoRoomKnown, kBound, kStart).pendingTokens == 4000);
}

TEST_CASE("a request that is never released expires, and an engine without requests is removed") {
  PendingWork work;
  work.reserve(7, requestOf(1, 1, 20000), kNoRoomKnown, kBound, kStart);
  CHECK_FALSE(work.reserve(7, requestOf(1, 2, 1), kNoRoomKnown, kBound, kStart).isGranted);
  const Time later = kStart + std::chrono::seconds(4);
  CHECK(work.reserve(7, requestOf(1, 3, 1), kNoRoomKnown, kBound, later).pendingTokens == 0);
  work.release(7, 1, 3, later);
  CHECK(work.size() == 0);
}

TEST_CASE("the requests of a node are removed when it restarts") {
  PendingWork work;
  work.reserve(7, requestOf(1, 1, 9000), kNoRoomKnown, kBound, kStart);
  work.reserve(7, requestOf(2, 1, 4000), kNoRoomKnown, kBound, kStart);
  work.forgetOwner(1);
  CHECK(work.reserve(7, requestOf(3, 1, 1), kNoRoomKnown, kBound, kStart).pendingTokens == 4000);
}

TEST_CASE("requests that run keep their places and their memory until they end") {
  PendingWork work;
  const EngineRoom room{4, 50000};
  SUBCASE("a new request waits for a place") {
    for (uint32_t id = 1; id <= 4; ++id) {
      CHECK(work.reserve(7, requestOf(1, id, 1000), room, kBound, kStart).isGranted);
      work.promptRead(7, 1, id, kStart + Duration(30000));
    }
    const Time later = kStart + Duration(100000);
    const LoadAnswer fifth = work.reserve(7, requestOf(1, 5, 1000), room, 1000, later);
    CHECK_FALSE(fifth.isGranted);
    CHECK(fifth.pendingTokens > 1000);
    work.release(7, 1, 2, later);
    CHECK(work.reserve(7, requestOf(1, 6, 1000), room, 1000, later).isGranted);
  }
  SUBCASE("a new request waits for memory") {
    work.reserve(7, requestOf(1, 1, 45000), room, kBound, kStart);
    work.promptRead(7, 1, 1, kStart + Duration(30000));
    const Time later = kStart + Duration(100000);
    CHECK(work.reserve(7, requestOf(1, 2, 4000), room, kBound, later).pendingTokens == 0);
    work.release(7, 1, 2, later);
    CHECK(work.reserve(7, requestOf(1, 3, 20000), room, kBound, later).pendingTokens > 0);
  }
}

TEST_CASE("the rate at which an engine reads prompts is measured") {
  PendingWork slow;
  PendingWork quick;
  Time now = kStart;
  for (uint32_t id = 1; id <= 40; ++id) {
    slow.reserve(7, requestOf(1, id, 9000), kNoRoomKnown, kBound, now);
    quick.reserve(7, requestOf(1, id, 9000), kNoRoomKnown, kBound, now);
    quick.promptRead(7, 1, id, now + Duration(90000));
    quick.release(7, 1, id, now + Duration(90000));
    now += Duration(450000);
    slow.promptRead(7, 1, id, now);
    slow.release(7, 1, id, now);
  }
  const double slowRate =
      slow.reserve(7, requestOf(1, 99, 1), kNoRoomKnown, kBound, now).tokensPerSecond;
  const LoadAnswer quickAnswer = quick.reserve(7, requestOf(1, 99, 1), kNoRoomKnown, kBound, now);
  CHECK(slowRate > 15000);
  CHECK(slowRate < 30000);
  CHECK(quickAnswer.tokensPerSecond > 70000);
  CHECK(quickAnswer.expectedReading(9000) < Duration(130000));
}

TEST_CASE("an engine is reported as stalled once its pending requests should have begun") {
  PendingWork work;
  work.reserve(7, requestOf(1, 1, 9000), kNoRoomKnown, kBound, kStart);
  const auto isStalled = [&](Duration after, uint32_t id) {
    const LoadAnswer answer =
        work.reserve(7, requestOf(1, id, 100), kNoRoomKnown, kBound, kStart + after);
    work.release(7, 1, id, kStart + after);
    return answer.isStalled;
  };
  CHECK_FALSE(isStalled(Duration(300000), 2));
  CHECK(isStalled(Duration(1500000), 3));
  SUBCASE("the first request that begins ends the stall") {
    work.reserve(7, requestOf(2, 1, 900), kNoRoomKnown, kBound, kStart + Duration(200000));
    work.promptRead(7, 2, 1, kStart + Duration(1600000));
    CHECK_FALSE(isStalled(Duration(1700000), 4));
  }
}

// Guards against application engines that look stalled because no prompt of theirs is ever read.
TEST_CASE("requests without a prompt are counted as present, and never stall an engine") {
  PendingWork work;
  const Time later = kStart + std::chrono::seconds(2);
  CHECK(work.reserve(7, requestOf(1, 1, 0), kNoRoomKnown, kBound, kStart).presentRequests == 0U);
  CHECK(work.reserve(7, requestOf(2, 1, 0), kNoRoomKnown, kBound, later).presentRequests == 1U);
  const LoadAnswer third = work.reserve(7, requestOf(3, 1, 0), kNoRoomKnown, kBound, later);
  CHECK(third.presentRequests == 2U);
  CHECK(third.isGranted);
  CHECK_FALSE(third.isStalled);
}

}  // namespace fernmoor::gateway
