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

constexpr EngineRoom kKnownRoom{32, 95466};
constexpr uint64_t kNoBound = 1000000;

/// A long prompt of 9,190 tokens, of which 6,300 are shared, and an answer of 9 tokens.
PendingRequest sharingRequest(uint32_t id, uint64_t subject) {
  PendingRequest request = requestOf(1, id, 9190);
  request.demand.memoryTokens = 9199;
  request.demand.sharedParts = {SharedPart{1, 2500}, SharedPart{subject, 3800}};
  return request;
}

/// Serves long prompts one after another at an engine that reads 40.8 tokens per millisecond.
void serveLongPrompts(PendingWork& work, uint64_t engine, int count, Time& now,
                      Duration perPrompt = Duration(81000)) {
  for (int served = 0; served < count; ++served) {
    work.reserve(engine, sharingRequest(1, 2), kKnownRoom, kNoBound, now);
    now += perPrompt;
    work.promptRead(engine, 1, 1, now);
    work.release(engine, 1, 1, now + Duration(45000));
    now += Duration(100000);
  }
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
  work.forgetOwner(1, kStart);
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

// Guards against prompts that are refused at nearly idle engines, because cached parts count as
// still to be read and the memory of shared parts is counted with each request.
TEST_CASE("cached and shared parts neither wait for reading nor for memory") {
  PendingWork work;
  Time now = kStart;
  CHECK(work.reserve(7, sharingRequest(1, 2), kKnownRoom, kBound, now).readingTokens == 9190);
  work.promptRead(7, 1, 1, now + Duration(225000));
  for (uint32_t id = 2; id <= 24; ++id) {
    now += Duration(300000);
    const LoadAnswer answer = work.reserve(7, sharingRequest(id, 2), kKnownRoom, kBound, now);
    CHECK(answer.pendingTokens == 0);
    CHECK(answer.readingTokens == 2890);
    work.promptRead(7, 1, id, now + Duration(81000));
  }
}

// Guards against an engine that looks idle while it thrashes: its parts are evicted and read again.
TEST_CASE("parts that do not fit an engine's memory are counted as still to be read") {
  PendingWork work;
  const EngineRoom small{32, 12000};
  for (uint32_t id = 1; id <= 6; ++id) {
    const Time now = kStart + Duration(500000) * id;
    const LoadAnswer answer = work.reserve(7, sharingRequest(id, 2 + id % 3), small, kBound, now);
    CHECK(answer.readingTokens >= 3800 + 2890);
    work.promptRead(7, 1, id, now + Duration(200000));
    work.release(7, 1, id, now + Duration(250000));
  }
}

// Guards against waits that are estimated too short because cached tokens count as read.
TEST_CASE("the speed of an engine is measured in tokens that it had to read") {
  PendingWork work;
  Time now = kStart;
  serveLongPrompts(work, 7, 40, now);
  const LoadAnswer answer = work.reserve(7, sharingRequest(1, 2), kKnownRoom, kBound, now);
  CHECK(answer.tokensPerSecond > 36000);
  CHECK(answer.tokensPerSecond < 45000);
}

// Guards against an engine that looks fast to a new owner, which does not know what it has cached.
TEST_CASE("parts that a new owner has not seen yet do not raise the measured speed") {
  PendingWork work;
  Time now = kStart;
  for (uint32_t id = 1; id <= 10; ++id) {
    work.reserve(7, sharingRequest(id, 1 + id), kKnownRoom, kNoBound, now);
    now += Duration(81000);
    work.promptRead(7, 1, id, now);
    work.release(7, 1, id, now);
  }
  const LoadAnswer answer = work.reserve(7, sharingRequest(11, 2), kKnownRoom, kBound, now);
  CHECK(answer.tokensPerSecond < 45000);
}

// Guards against an idle engine that looks slow, because messages and steps outweigh the reading of
// short prompts, or because of what was observed long ago.
TEST_CASE("short prompts and old observations do not make an idle engine look slow") {
  PendingWork work;
  Time now = kStart;
  const auto answerNow = [&] {
    const LoadAnswer answer = work.reserve(7, sharingRequest(99, 2), kKnownRoom, kNoBound, now);
    work.release(7, 1, 99, now);
    return answer;
  };
  SUBCASE("short prompts") {
    serveLongPrompts(work, 7, 1, now);
    for (uint32_t id = 1; id <= 50; ++id) {
      work.reserve(7, requestOf(1, id, 628), kKnownRoom, kNoBound, now);
      now += Duration(25000);
      work.promptRead(7, 1, id, now);
      work.release(7, 1, id, now);
    }
    CHECK(answerNow().tokensPerSecond > 38000);
  }
  SUBCASE("old observations") {
    serveLongPrompts(work, 7, 20, now, Duration(400000));
    // The prompts are equally long, so that the time may be of the fixed part or of the reading.
    CHECK(answerNow().expectedReading(2890) > Duration(300000));
    now += Duration(19000000);
    CHECK(answerNow().expectedReading(2890) < Duration(110000));
    CHECK(answerNow().tokensPerSecond > 30000);
  }
}

// Guards against a new engine that gets no requests because it looks slower than the others, or too
// many because it looks faster.
TEST_CASE("a new engine is assumed to be as fast as the fastest observed one of its kind") {
  PendingWork work;
  Time now = kStart;
  serveLongPrompts(work, 7, 30, now, Duration(31000));
  const double observed =
      work.reserve(7, sharingRequest(1, 2), kKnownRoom, kNoBound, now).tokensPerSecond;
  CHECK(observed > 60000);
  const auto speedOfNew = [&](uint64_t engine, const EngineRoom& room) {
    work.reserve(engine, sharingRequest(1, 2), room, kNoBound, now);
    return work.reserve(engine, sharingRequest(2, 2), room, kNoBound, now).tokensPerSecond;
  };
  CHECK(speedOfNew(8, kKnownRoom) == doctest::Approx(observed).epsilon(0.05));
  CHECK(speedOfNew(9, EngineRoom{6, 20000}) == 40000);
}

// Guards against requests that are sent on and on to an engine that rejects them.
TEST_CASE("an engine that rejected a request for lack of capacity counts as full for a while") {
  PendingWork work;
  Time now = kStart;
  serveLongPrompts(work, 7, 1, now);
  work.reserve(7, sharingRequest(1, 2), kKnownRoom, kBound, now);
  work.noteRejection(7, now);
  work.release(7, 1, 1, now);
  const LoadAnswer refused = work.reserve(7, requestOf(1, 2, 800), kKnownRoom, 800, now);
  CHECK_FALSE(refused.isGranted);
  CHECK(refused.expectedWait() > Duration(190000));
  CHECK(work.refusals().reading == 1);
  SUBCASE("until that time is over") {
    now += Duration(200000);
    CHECK(work.reserve(7, sharingRequest(3, 2), kKnownRoom, kBound, now).pendingTokens == 0);
  }
  SUBCASE("until it begins a request that was sent later") {
    now += Duration(1000);
    work.reserve(7, sharingRequest(3, 2), kKnownRoom, kNoBound, now);
    now += Duration(80000);
    work.promptRead(7, 1, 3, now);
    CHECK(work.reserve(7, sharingRequest(4, 2), kKnownRoom, kBound, now).pendingTokens == 0);
  }
  SUBCASE("but not if its requests have no shared parts") {
    work.reserve(8, requestOf(1, 1, 800), kKnownRoom, kBound, now);
    work.noteRejection(8, now);
    work.release(8, 1, 1, now);
    CHECK(work.reserve(8, requestOf(1, 2, 800), kKnownRoom, kBound, now).pendingTokens == 0);
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

// Guards against answers that are late anyway and make those late that can still be in time.
TEST_CASE("a request that will be late gets only room that nobody else needs") {
  PendingWork work;
  const EngineRoom room{8, 95466};
  PendingRequest late = sharingRequest(50, 2);
  late.demand.urgency = 9;
  late.demand.onlySpare = true;
  for (uint32_t id = 1; id <= 3; ++id) {
    work.reserve(7, sharingRequest(id, 2), room, kNoBound, kStart);
    work.promptRead(7, 1, id, kStart + Duration(100000));
  }
  const Time now = kStart + Duration(200000);
  SUBCASE("at an engine that is less than half full") {
    CHECK(work.reserve(7, late, room, UINT32_MAX, now).isGranted);
  }
  SUBCASE("not at one where prompts wait") {
    work.reserve(7, sharingRequest(4, 2), room, kNoBound, now);
    CHECK_FALSE(work.reserve(7, late, room, UINT32_MAX, now).isGranted);
  }
  SUBCASE("not at one that is half full") {
    work.reserve(7, sharingRequest(4, 2), room, kNoBound, now);
    work.promptRead(7, 1, 4, now);
    CHECK_FALSE(work.reserve(7, late, room, UINT32_MAX, now).isGranted);
    CHECK(work.reserve(7, sharingRequest(5, 2), room, UINT32_MAX, now).isGranted);
  }
}

// Guards against engines that preempt running requests because they were sent more than fits.
TEST_CASE("a request whose memory does not fit is refused, and told when to return") {
  PendingWork work;
  const EngineRoom room{32, 20000};
  PendingRequest first = sharingRequest(1, 2);
  PendingRequest second = sharingRequest(2, 3);
  PendingRequest third = sharingRequest(3, 4);
  for (PendingRequest* each : {&first, &second, &third}) {
    each->demand.urgency = 1;
    each->demand.requestKey = each->id;
    each->demand.forgetAfter = std::chrono::seconds(5);
  }
  CHECK(work.reserve(7, first, room, UINT32_MAX, kStart).isGranted);
  CHECK(work.reserve(7, second, room, UINT32_MAX, kStart).isGranted);
  const LoadAnswer answer = work.reserve(7, third, room, UINT32_MAX, kStart);
  CHECK_FALSE(answer.isGranted);
  CHECK(work.refusals().memory == 1);
}

}  // namespace fernmoor::gateway
