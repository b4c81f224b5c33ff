/// @file
/// Tests of src/gateway/send_decisions.h.
#include "gateway/send_decisions.h"

#include <doctest/doctest.h>

namespace fernmoor::gateway {

namespace {

constexpr Time kStart{std::chrono::seconds(100)};

Duration milliseconds(int count) {
  return std::chrono::milliseconds(count);
}

struct Case {
  Case() {
    row.target = milliseconds(1000);
    request.row = &row;
    request.arrivedAt = kStart;
    request.deadline = kStart + milliseconds(5000);
  }
  Row row;
  IncomingRequest request;
};

}  // namespace

TEST_CASE("a request is sent while its wait leaves most of its target") {
  const Case sent;
  CHECK(canBeInTime(sent.request, ExpectedTimes{milliseconds(400), milliseconds(3000)}, kStart));
  CHECK_FALSE(
      canBeInTime(sent.request, ExpectedTimes{milliseconds(401), milliseconds(500)}, kStart));
  const Time later = kStart + milliseconds(200);  // The time elapsed since arrival counts, too.
  CHECK_FALSE(
      canBeInTime(sent.request, ExpectedTimes{milliseconds(300), milliseconds(500)}, later));
}

TEST_CASE("how long a back end may be silent") {
  const Case sent;
  const Duration most = milliseconds(1500);
  CHECK((silenceLimit(sent.request, milliseconds(500), most) == milliseconds(1500)));
  CHECK((silenceLimit(sent.request, milliseconds(2000), most) == milliseconds(6000)));
  CHECK((silenceLimit(sent.request, milliseconds(50), most) == milliseconds(600)));
  SUBCASE("without an estimate: at most half of the request's time") {
    CHECK((silenceLimit(sent.request, std::nullopt, most) == most));
    Case shorter;
    shorter.request.deadline = kStart + milliseconds(800);
    CHECK((silenceLimit(shorter.request, std::nullopt, most) == milliseconds(400)));
  }
}

TEST_CASE("how long a request may wait for an engine that is at its limit") {
  Case each;
  const auto waitOf = [&](int urgency, Time now, bool mayBeRefused = true) {
    return longestPermitWait(each.request, urgency, mayBeRefused, now);
  };
  SUBCASE("half as long for each step of urgency") {
    CHECK((waitOf(0, kStart) == milliseconds(300)));
    CHECK((waitOf(1, kStart) == milliseconds(150)));
    CHECK((waitOf(9, kStart) < milliseconds(1)));
  }
  SUBCASE("no longer than it can still meet its target") {
    CHECK((waitOf(0, kStart + milliseconds(250)) == milliseconds(150)));
    CHECK((waitOf(0, kStart + milliseconds(900)) == Duration(0)));
  }
  SUBCASE("until its deadline if it was sent before") {
    CHECK((waitOf(0, kStart + milliseconds(900), false) == milliseconds(300)));
    CHECK((waitOf(0, kStart + milliseconds(4900), false) == milliseconds(100)));
  }
}

TEST_CASE("the error if all engines are at their limits") {
  const Error error = unpermittedError(milliseconds(430));
  CHECK((error.kind == ErrorKind::kOverloaded));
  CHECK((error.runState == RunState::kNotRun));
  CHECK((error.retryAfter == milliseconds(430)));
  CHECK((unpermittedError(Duration(0)).retryAfter == milliseconds(50)));
}

TEST_CASE("the error if no further back end may be tried") {
  const Error notRun = givenUpError(GivenUp{false, false, std::nullopt});
  CHECK((notRun.kind == ErrorKind::kOverloaded));
  CHECK((notRun.runState == RunState::kNotRun));
  CHECK((notRun.retryAfter == milliseconds(250)));
  CHECK((givenUpError(GivenUp{false, false, milliseconds(2000)}).retryAfter == milliseconds(1000)));
  const Error mayHaveRun = givenUpError(GivenUp{true, false, std::nullopt});
  CHECK((mayHaveRun.kind == ErrorKind::kOutcomeUnknown));
  CHECK((mayHaveRun.runState == RunState::kUnknown));
  CHECK_FALSE(mayHaveRun.retryAfter.has_value());
  CHECK((givenUpError(GivenUp{true, true, std::nullopt}).kind == ErrorKind::kTimeout));
  CHECK((unverifiedKeyError(false, false).runState == RunState::kNotRun));
  CHECK((unverifiedKeyError(true, false).runState == RunState::kUnknown));
  CHECK(unverifiedKeyError(false, false).retryAfter > kRetryAfterOtherNode);
  CHECK((unverifiedKeyError(false, true).retryAfter == kRetryAfterOtherNode));
}

}  // namespace fernmoor::gateway
