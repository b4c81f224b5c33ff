/// @file
/// Tests of src/gateway/request_trail.h and src/gateway/outcome_log.h.
#include "gateway/request_trail.h"

#include <doctest/doctest.h>

#include <set>

#include "gateway/outcome_log.h"

namespace fernmoor::gateway {

namespace {

constexpr Time kStart{std::chrono::seconds(100)};

TrailEntry sendTo(const std::string& backend, int milliseconds) {
  TrailEntry entry;
  entry.backend = backend;
  entry.inFlight = 3;
  entry.pendingTokens = 5200;
  entry.sentAfter = std::chrono::milliseconds(milliseconds);
  return entry;
}

}  // namespace

TEST_CASE("a trail names each back end, its load, and how the attempt ended") {
  RequestTrail trail;
  CHECK(trail.isEmpty());
  trail.begin(sendTo("e-1", 12));
  trail.end(AttemptEnd::kBroken, std::chrono::milliseconds(143));
  trail.begin(sendTo("e-2", 144));
  CHECK(trail.text() ==
        "e-1 (3 running, 5200 tokens waiting) at 12 ms broke off after 143 ms; "
        "e-2 (3 running, 5200 tokens waiting) at 144 ms was under way");
}

TEST_CASE("a trail names the expected and the lowest acceptable weights") {
  RequestTrail trail;
  TrailEntry entry = sendTo("e-1", 12);
  entry.weights = 3;
  entry.lowestWeights = 4;
  trail.begin(entry);
  CHECK(trail.text() ==
        "e-1 (weights 3, lowest 4, 3 running, 5200 tokens waiting) at 12 ms was under way");
}

TEST_CASE("a trail names the software of each back end, and the stream that is taken up") {
  RequestTrail trail;
  trail.noteTakeUp("9c41", "12");
  TrailEntry entry = sendTo("e-1", 12);
  entry.software = "v1.2";
  trail.begin(entry);
  CHECK(trail.text() ==
        "takes up stream 9c41 after event 12; e-1 (software v1.2, 3 running, 5200 tokens waiting) "
        "at 12 ms was under way");
}

TEST_CASE("a trail contains the expected first event and the bound known at the send") {
  RequestTrail trail;
  TrailEntry entry = sendTo("e-1", 12);
  entry.weights = 3;
  entry.expectedFirstEvent = std::chrono::milliseconds(210);
  entry.boundLeft = std::chrono::milliseconds(900);
  trail.begin(entry);
  CHECK(trail.text() ==
        "e-1 (weights 3, lowest 0, bound ends in 900 ms, 3 running, 5200 tokens waiting, first "
        "event expected in 210 ms) at 12 ms was under way");
}

// Guards against log lines that do not say why a request was refused or its answer late.
TEST_CASE("a trail names the reason of a refusal and of a late answer") {
  RequestTrail refused;
  refused.noteRefusal(WaitVerdict{WaitDecision::kRefuse, std::chrono::milliseconds(450)},
                      std::chrono::milliseconds(900));
  CHECK(refused.text() ==
        "not sent, would wait too long: first event expected in 900 ms, told to return after 450 "
        "ms");
  RequestTrail late;
  TrailEntry entry = sendTo("e-1", 12);
  entry.isSentLate = true;
  late.begin(entry);
  CHECK(late.text().find("sent as the least urgent as it would be late") != std::string::npos);
}

TEST_CASE("only the first end of an attempt is recorded") {
  RequestTrail trail;
  trail.end(AttemptEnd::kServed, Duration(0));
  trail.begin(sendTo("e-1", 0));
  trail.noteStatus(503);
  trail.end(AttemptEnd::kRejected, std::chrono::milliseconds(2));
  trail.end(AttemptEnd::kBroken, std::chrono::milliseconds(9));
  CHECK(trail.text().find("turned it away with 503 after 2 ms") != std::string::npos);
}

TEST_CASE("many lines of one outcome do not use up the budget of others") {
  OutcomeLog log;
  int refusals = 0;
  for (int request = 0; request < 500; ++request) {
    refusals += log.take(RequestOutcome::kNoBackend, false, kStart) ? 1 : 0;
  }
  CHECK(refusals < 50);
  CHECK(log.take(RequestOutcome::kBrokenOff, false, kStart) == 0);
  CHECK(log.take(RequestOutcome::kDelivered, true, kStart) == 0);
  const auto next = log.take(RequestOutcome::kNoBackend, false, kStart + std::chrono::seconds(1));
  CHECK(next == static_cast<uint64_t>(500 - refusals));
}

TEST_CASE("each outcome has its own phrase") {
  std::set<std::string> phrases;
  for (size_t outcome = 0; outcome < kRequestOutcomes; ++outcome) {
    phrases.insert(phraseOf(static_cast<RequestOutcome>(outcome)));
  }
  CHECK(phrases.size() == kRequestOutcomes);
}

}  // namespace fernmoor::gateway
