/// @file
/// Tests of src/gateway/wait_policy.h and of its use in src/gateway/send_planner.h, with given
/// times and without a network.
#include "gateway/wait_policy.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>

#include "gateway/send_decisions.h"
#include "gateway/send_planner.h"
#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway {

namespace {

Duration milliseconds(int64_t count) {
  return std::chrono::milliseconds(count);
}

/// A request with a target of 1 s, just arrived, whose prompt takes 300 ms to read.
WaitInput inputOf(int wait, int left = 5000) {
  WaitInput input;
  input.target = milliseconds(1000);
  input.timeout = milliseconds(left);
  input.left = milliseconds(left);
  input.expected = ExpectedTimes{milliseconds(wait), milliseconds(wait + 300)};
  input.claim = ClaimState::kGranted;
  return input;
}

WaitDecision decisionOf(const WaitInput& input) {
  return decideWait(input).decision;
}

}  // namespace

// Guards against refusals that cost a caller its answer although it could still have one.
TEST_CASE("a request is refused for its wait only if its caller gains by it") {
  CHECK((decisionOf(inputOf(400)) == WaitDecision::kSend));
  CHECK((decisionOf(inputOf(401)) == WaitDecision::kRefuse));
  CHECK((decideWait(inputOf(402)).returnAfter == milliseconds(351)));
  SUBCASE("a caller without time to return is sent if it can meet its target") {
    CHECK((decisionOf(inputOf(500, 1000)) == WaitDecision::kSend));
    CHECK((decisionOf(inputOf(750, 1500)) == WaitDecision::kRefuse));
  }
  SUBCASE("a late answer is better than none, but only with spare capacity") {
    WaitInput late = inputOf(750, 1500);
    late.hasSpareCapacity = true;
    CHECK((decisionOf(late) == WaitDecision::kSendLate));
    late = inputOf(750);
    late.hasSpareCapacity = true;
    CHECK((decisionOf(late) == WaitDecision::kRefuse));
    late.left = milliseconds(4600);  // Its caller has used 400 ms, so it may not return again.
    CHECK((decisionOf(late) == WaitDecision::kSendLate));
  }
  SUBCASE("an engine that can begin at once serves a request that has missed its target") {
    WaitInput late = inputOf(0);
    late.waited = milliseconds(900);
    late.hasSpareCapacity = true;
    CHECK((decisionOf(late) == WaitDecision::kSendLate));
  }
  SUBCASE("a retry with a reservation waits as long as its deadline allows") {
    WaitInput retry = inputOf(4000);
    retry.claim = ClaimState::kReserved;
    CHECK((decisionOf(retry) == WaitDecision::kSend));
  }
  SUBCASE("without an estimate, or once sent, a request is never refused") {
    WaitInput sent = inputOf(9000);
    sent.mayBeRefused = false;
    sent.claim = ClaimState::kTurnedAway;
    CHECK((decisionOf(sent) == WaitDecision::kSend));
    WaitInput unknown = inputOf(0);
    unknown.expected.reset();
    CHECK((decisionOf(unknown) == WaitDecision::kSend));
  }
}

// Guards against work on requests whose answers nobody waits for any more.
TEST_CASE("a request that cannot be served before its deadline is refused at once") {
  for (const ClaimState claim :
       {ClaimState::kGranted, ClaimState::kReserved, ClaimState::kTurnedAway}) {
    WaitInput input = inputOf(4900);
    input.hasSpareCapacity = true;
    input.claim = claim;
    CHECK((decisionOf(input) == WaitDecision::kRefuseHopeless));
  }
  CHECK((decisionOf(inputOf(0, 200)) == WaitDecision::kSend));  // The estimate may be too long.
}

// Guards against return times after which a caller has no time left to be served.
TEST_CASE("a caller is told the time of its reservation, and at most a third of what it has left") {
  WaitInput input = inputOf(100, 3000);
  input.claim = ClaimState::kTurnedAway;
  input.reservedIn = milliseconds(720);
  const WaitVerdict refused = decideWait(input);
  CHECK((refused.decision == WaitDecision::kRefuse));
  CHECK((refused.returnAfter == milliseconds(720)));
  input.reservedIn = milliseconds(1200);
  CHECK((decideWait(input).returnAfter == milliseconds(1000)));
  input.hasSpareCapacity = true;  // It would return before its reservation begins.
  CHECK((decisionOf(input) == WaitDecision::kSendLate));
  GivenUp state;
  state.timeLeft = milliseconds(300);
  CHECK((givenUpError(state).retryAfter == milliseconds(100)));
}

namespace {

struct Outcome {
  int inTime = 0;
  int late = 0;
  int refusedTwice = 0;
};

/// 160 callers arrive at an engine that reads one prompt at a time, for 200 ms each, the least
/// urgent ones last: twice as many as it can read for 4 s, and none for the next 4 s.
Outcome playBursts(bool servesLate) {
  const Duration reading = milliseconds(200);
  const Duration timeout = milliseconds(5000);
  const Time start{std::chrono::seconds(100)};
  std::multimap<Time, Time> arrivals;  // To the caller's first attempt.
  for (int index = 0; index < 160; ++index) {
    const Time at = start + milliseconds(100 * (index % 40) + 8000 * (index / 40));
    arrivals.emplace(at, at);
  }
  std::deque<Time> urgent;
  std::deque<Time> leastUrgent;
  Time busyUntil = start;
  Outcome outcome;
  for (Time now = start; now < start + std::chrono::seconds(40); now += milliseconds(1)) {
    std::deque<Time>& next = urgent.empty() ? leastUrgent : urgent;
    if (now >= busyUntil && !next.empty()) {
      busyUntil = now + reading;
      const Duration took = busyUntil - next.front();
      CHECK((took <= timeout));
      ++(took <= milliseconds(1000) ? outcome.inTime : outcome.late);
      next.pop_front();
    }
    for (; !arrivals.empty() && arrivals.begin()->first <= now; arrivals.erase(arrivals.begin())) {
      const Time first = arrivals.begin()->second;
      const bool isRetry = first < arrivals.begin()->first;
      WaitInput input = inputOf(0);
      input.left = first + timeout - now;
      const auto ahead = static_cast<int64_t>(urgent.size());
      const auto queued = ahead + static_cast<int64_t>(leastUrgent.size());
      const Duration wait = std::max(Duration(0), busyUntil - now) + ahead * reading;
      input.expected = ExpectedTimes{wait, wait + reading};
      input.hasSpareCapacity = servesLate && (queued + 2) * reading <= input.left;
      const WaitVerdict verdict = decideWait(input);
      if (!verdict.isRefused()) {
        (verdict.decision == WaitDecision::kSendLate ? leastUrgent : urgent).push_back(first);
      } else if (isRetry) {
        ++outcome.refusedTwice;
      } else {
        arrivals.emplace(now + verdict.returnAfter, first);
      }
    }
  }
  return outcome;
}

}  // namespace

// Guards against a policy that refuses returning callers again while the engine has capacity soon,
// and against late requests that take the place of others that would be in time.
TEST_CASE("late answers fill the gaps of an engine and take no place of those in time") {
  const Outcome without = playBursts(false);
  const Outcome with = playBursts(true);
  CHECK(without.late == 0);
  CHECK(without.refusedTwice >= 60);
  CHECK(with.inTime >= without.inTime);
  CHECK(with.refusedTwice == 0);
  CHECK(with.inTime + with.late == 160);
}

namespace {

/// An engine with a queue of 900 ms; answers as the test sets it, and records the questions.
class BusyLoads : public EngineLoads {
 public:
  std::optional<LoadAnswer> reserve(uint64_t, const EngineDemand& demand, const EngineRoom&,
                                    uint64_t bound) override {
    LoadAnswer answer;
    answer.tokensPerSecond = 10000;
    answer.pendingTokens = 9000;
    answer.readingTokens = 1000;
    const bool isLeastUrgent = demand.urgency == kLeastUrgent;
    answer.isGranted = bound > 9000 && (isReserved || (isLeastUrgent && hasSpare));
    answer.isFromReservation = isReserved;
    answer.returnAfter = answer.isGranted ? Duration(0) : milliseconds(400);
    granted += answer.isGranted ? 1 : 0;
    return answer;
  }
  void promptRead(const LoadTicket&) override {}
  void release(const LoadTicket&) override { --granted; }

  bool hasSpare = false;
  bool isReserved = false;
  int granted = 0;
};

}  // namespace

// Guards against late requests that go ahead of others, return times that ignore a reservation, and
// requests that stay counted although they are refused.
TEST_CASE("a planned request follows what the node that counts for the engine says") {
  test::LeapingClock clock;
  BackendSet backends;
  DesiredWeights wanted{WeightBounds{}};
  test::TestHints hints;
  BusyLoads loads;
  SendPlanner planner(PlannerServices{clock, backends, wanted, hints, loads}, "zone", 1);
  BackendListing listing;
  listing.id = "a";
  listing.pool = "pool";
  backends.update(listing, clock.now());
  TrafficTable table;
  Pool pool;
  pool.name = "pool";
  pool.room = EngineRoom{32, 90000};
  Row row;
  row.usesPrefixes = true;
  row.target = milliseconds(600);
  row.timeout = milliseconds(5000);
  IncomingRequest request;
  request.row = &row;
  request.pool = "pool";
  request.promptTokens = 2000;
  request.parts = {{"shared", 1500}, {"own", 500}};
  request.arrivedAt = clock.now();
  request.deadline = request.arrivedAt + row.timeout;
  bool mayBeRefused = true;
  const auto plan = [&] {
    table.addPool(pool);
    request.table = std::make_shared<TrafficTable>(table);
    return *planner.plan(PlanInput{request, {}, "", std::nullopt, mayBeRefused});
  };
  SUBCASE("it is refused with the time of its reservation, and not counted") {
    const PlannedSend planned = plan();
    CHECK((planned.verdict.decision == WaitDecision::kRefuse));
    CHECK((planned.verdict.returnAfter == milliseconds(400)));
    CHECK(loads.granted == 0);
  }
  SUBCASE("a caller that cannot return is served as the least urgent, if there is capacity") {
    request.deadline = request.arrivedAt + milliseconds(1300);
    CHECK(plan().verdict.isRefused());
    CHECK(loads.granted == 0);
    loads.hasSpare = true;
    const PlannedSend planned = plan();
    CHECK((planned.verdict.decision == WaitDecision::kSendLate));
    CHECK(planned.send.urgency == kLeastUrgent);
    CHECK(planned.ticket.has_value());
    CHECK(loads.granted == 1);
  }
  SUBCASE("a retry with a reservation is sent at its own urgency") {
    loads.isReserved = true;
    const PlannedSend planned = plan();
    CHECK((planned.verdict.decision == WaitDecision::kSend));
    CHECK(planned.send.urgency == 0);
  }
  SUBCASE("a request that was sent before is sent again") {
    mayBeRefused = false;
    CHECK((plan().verdict.decision == WaitDecision::kSend));
  }
  SUBCASE("where the pool states no capacity, the wait alone decides") {
    pool.room = EngineRoom{};
    loads.hasSpare = true;
    request.deadline = request.arrivedAt + milliseconds(1300);
    CHECK((plan().verdict.decision == WaitDecision::kRefuse));
    CHECK(loads.granted == 0);
  }
}

}  // namespace fernmoor::gateway
