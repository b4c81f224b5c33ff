/// @file
/// Tests of src/relay/request_flow.h.
#include "relay/request_flow.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

#include "common/random.h"

namespace fernmoor {

namespace {

constexpr int64_t kLength = 12;
constexpr Duration kStep{10000};

/// Each attempt produces a different text, so that a mix of two answers is detected.
std::string textOf(const AttemptId& attempt, int64_t first, int64_t count) {
  std::string text;
  for (int64_t position = first; position < first + count; ++position) {
    text += " " + attempt.value() + "." + std::to_string(position);
  }
  return text;
}

Error engineError(ErrorKind kind, RunState runState) {
  return Error{kind, "test", runState, std::nullopt};
}

Placement placementOn(const std::string& engine) {
  Placement placement;
  placement.engine = EngineId(engine);
  return placement;
}

FlowLimits testLimits() {
  FlowLimits limits;
  limits.deadline = Duration(3000000);
  limits.firstFrameTimeout = Duration(200000);
  limits.stallTimeout = Duration(100000);
  limits.maxTokens = kLength + 4;
  return limits;
}

/// Engines, network and caller of one request. In each step every running attempt may send a frame.
/// During the fault period frames are lost, delayed, duplicated and reordered, and attempts are
/// rejected, stall, break or are forgotten by the engine.
class FaultyWorld {
 public:
  FaultyWorld(uint64_t seed, FlowLimits limits)
      : random_(seed), faultSteps_(20 + static_cast<int>(random_.below(150))), flow_(limits, now_) {
    execute(flow_.begin());
  }

  void run() {
    for (int step = 0; step < 400 && !flow_.done(); ++step) {
      now_ += kStep;
      faulty_ = step < faultSteps_;
      for (const auto& [attempt, position] : std::map<AttemptId, int64_t>(running_)) {
        produce(attempt, position);
      }
      deliverLateFrames();
      if (faulty_ && random_.chance(0.05)) {
        failAttempt();
      }
      execute(flow_.onTick(now_));
    }
  }

  const RequestFlow& flow() const { return flow_; }
  int64_t runs() const { return runs_; }
  const std::optional<Error>& refusal() const { return refusal_; }
  int64_t receivedTokens() const { return receivedTokens_; }

 private:
  struct LateFrame {
    AttemptId attempt;
    StreamFrame frame;
  };

  void produce(const AttemptId& attempt, int64_t position) {
    if (faulty_ && random_.chance(0.3)) {
      return;
    }
    const int64_t tokens = std::min(kLength - position, static_cast<int64_t>(1 + random_.below(3)));
    running_[attempt] = position + tokens;
    const StreamFrame frame{position, tokens, textOf(attempt, position, tokens),
                            position + tokens == kLength};
    for (int copy = faulty_ ? static_cast<int>(random_.below(3)) : 1; copy > 0; --copy) {
      late_.push_back({attempt, frame});
    }
  }

  void deliverLateFrames() {
    std::vector<LateFrame> arriving;
    arriving.swap(late_);
    for (LateFrame& frame : arriving) {
      if (faulty_ && random_.chance(0.3)) {
        late_.push_back(std::move(frame));
        continue;
      }
      execute(flow_.onFrame(frame.attempt, frame.frame, now_));
    }
  }

  void failAttempt() {
    if (running_.empty()) {
      return;
    }
    const AttemptId attempt = running_.rbegin()->first;
    if (random_.chance(0.5)) {
      running_.erase(attempt);
    }
    execute(flow_.onAttemptFailed(attempt, engineError(ErrorKind::kUnavailable, RunState::kUnknown),
                                  now_));
  }

  void execute(const FlowActions& actions) {
    for (const FlowAction& action : actions) {
      CHECK_FALSE(ended_);
      std::visit([this](const auto& concrete) { act(concrete); }, action);
    }
  }

  void act(const Place&) {
    const std::string name = "a" + std::to_string(100 + placed_++);
    execute(
        flow_.onPlaced(placementOn("e" + std::to_string(random_.below(3))), AttemptId(name), now_));
  }
  void act(const Dispatch& dispatch) {
    CHECK(dispatch.firstPosition == flow_.deliveredTokens());
    CHECK(dispatch.deliveredText == received_);
    if (faulty_ && random_.chance(0.3)) {
      const bool stale = random_.chance(0.5);
      execute(flow_.onAttemptFailed(
          dispatch.attempt,
          engineError(stale ? ErrorKind::kWrongIncarnation : ErrorKind::kUnavailable,
                      RunState::kNotRun),
          now_));
      return;
    }
    ++runs_;
    current_ = dispatch.attempt;
    running_[dispatch.attempt] = dispatch.firstPosition;
  }
  void act(const Resume& resume) {
    if (running_.count(resume.attempt) == 0) {
      execute(flow_.onAttemptFailed(resume.attempt,
                                    engineError(ErrorKind::kNotFound, RunState::kNotRun), now_));
      return;
    }
    running_[resume.attempt] = resume.position;
  }
  void act(const CancelAttempt& cancel) { cancelled_.insert(cancel.attempt); }
  void act(const DeliverText& delivery) {
    CHECK(delivery.position == receivedTokens_);
    CHECK(delivery.text == textOf(current_, delivery.position, delivery.tokens));
    receivedTokens_ += delivery.tokens;
    received_ += delivery.text;
  }
  void act(const Finish& finish) {
    CHECK(finish.totalTokens == kLength);
    CHECK(receivedTokens_ == kLength);
    ended_ = true;
  }
  void act(const Refuse& refuse) {
    refusal_ = refuse.error;
    ended_ = true;
  }

  Random random_;
  int faultSteps_;
  bool faulty_ = true;
  Time now_;
  std::map<AttemptId, int64_t>
      running_;  ///< Next position of each attempt, including cancelled ones.
  std::vector<LateFrame> late_;
  std::set<AttemptId> cancelled_;
  AttemptId current_;
  std::string received_;
  int64_t receivedTokens_ = 0;
  std::optional<Error> refusal_;
  bool ended_ = false;
  int64_t runs_ = 0;
  int64_t placed_ = 0;
  RequestFlow flow_;
};

}  // namespace

TEST_CASE("under faults the caller gets each token once and in order, and the request ends") {
  int64_t finished = 0;
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    FaultyWorld world(seed, testLimits());
    world.run();
    REQUIRE(world.flow().done());
    CHECK(world.receivedTokens() == world.flow().deliveredTokens());
    finished += world.refusal() ? 0 : 1;
  }
  CHECK(finished > 1000);
}

TEST_CASE(
    "a non-repeatable request runs at most once, and not_run is reported only if it did not run") {
  FlowLimits limits = testLimits();
  limits.repeatable = false;
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    FaultyWorld world(seed, limits);
    world.run();
    CHECK(world.runs() <= 1);
    if (world.refusal() && world.refusal()->runState == RunState::kNotRun) {
      CHECK(world.runs() == 0);
    }
  }
}

TEST_CASE("stale placements up to a limit are not counted as attempts") {
  FlowLimits limits = testLimits();
  limits.maxAttempts = 1;
  limits.maxStalePlacements = 2;
  RequestFlow flow(limits, Time());
  flow.begin();
  const Error stale = engineError(ErrorKind::kWrongWeights, RunState::kNotRun);
  for (const char* attempt : {"a", "b"}) {
    flow.onPlaced(placementOn("e"), AttemptId(attempt), Time());
    CHECK(std::holds_alternative<Place>(
        flow.onAttemptFailed(AttemptId(attempt), stale, Time()).front()));
  }
  flow.onPlaced(placementOn("e"), AttemptId("c"), Time());
  const FlowActions last = flow.onAttemptFailed(AttemptId("c"), stale, Time());
  REQUIRE(std::holds_alternative<Refuse>(last.front()));
  CHECK((std::get<Refuse>(last.front()).error.runState == RunState::kNotRun));
  CHECK(std::get<Refuse>(last.front()).error.retryAfter.has_value());
}

TEST_CASE("the deadline cancels the attempt and answers immediately with a Retry-After") {
  const FlowLimits limits = testLimits();
  RequestFlow flow(limits, Time());
  flow.begin();
  flow.onPlaced(placementOn("e"), AttemptId("a"), Time());
  const FlowActions actions = flow.onTick(Time() + limits.deadline);
  REQUIRE(actions.size() == 2);
  CHECK(std::holds_alternative<CancelAttempt>(actions[0]));
  const Error error = std::get<Refuse>(actions[1]).error;
  CHECK((error.runState == RunState::kUnknown));
  CHECK(error.retryAfter.has_value());
  CHECK(flow.onFrame(AttemptId("a"), {0, 1, " t0", false}, Time()).empty());
}

TEST_CASE("an adopted stream resumes at the caller's position and is never dispatched again") {
  RequestFlow flow(testLimits(), Time());
  const FlowActions first = flow.adopt(placementOn("e"), AttemptId("a"), 5, Time());
  CHECK(std::get<Resume>(first.front()).position == 5);
  const FlowActions lost = flow.onAttemptFailed(
      AttemptId("a"), engineError(ErrorKind::kNotFound, RunState::kNotRun), Time());
  REQUIRE(std::holds_alternative<Refuse>(lost.front()));
  CHECK((std::get<Refuse>(lost.front()).error.runState == RunState::kRan));
}

}  // namespace fernmoor
