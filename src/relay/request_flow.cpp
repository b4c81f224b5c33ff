#include "relay/request_flow.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fernmoor {

namespace {

/// An engine that answers so was chosen from a stale view; the next choice may well succeed.
bool isMisplacement(const Error& error) {
  return error.kind == ErrorKind::kWrongIncarnation || error.kind == ErrorKind::kWrongWeights;
}

/// Whether the engine itself said that it does not run the attempt, so that resuming is no use.
bool isRefusal(const Error& error) {
  return error.runState == RunState::kNotRun || isMisplacement(error) ||
         error.kind == ErrorKind::kNotFound;
}

/// Moves a life on. An event that the chart does not have there is a fault of this module.
template <class Life, class Event>
void advance(Life& life, Event event) {
  const auto next = life.fire(event);
  if (!isOk(next)) {
    throw std::logic_error(errorOf(next).message);
  }
}

}  // namespace

RequestFlow::RequestFlow(FlowLimits limits, Time start)
    : limits_(limits), end_(start + limits.deadline), life_(requestChart()) {}

FlowActions RequestFlow::begin() {
  return {Place{}};
}

FlowActions RequestFlow::adopt(const Placement& placement, const AttemptId& attempt,
                               int64_t position, Time now) {
  adopted_ = true;
  mayHaveRun_ = true;
  delivered_ = position;
  advance(life_, RequestEvent::kPlaced);
  attempt_ = Attempt{attempt, placement, AttemptLife(attemptChart()), now, false};
  FlowActions actions;
  interrupt(now, actions);
  return actions;
}

FlowActions RequestFlow::onPlaced(const Placement& placement, const AttemptId& attempt, Time now) {
  if (state() != RequestState::kPlacing) {
    return {};
  }
  if (now >= end_) {
    return onTick(now);
  }
  advance(life_, RequestEvent::kPlaced);
  attempt_ = Attempt{attempt, placement, AttemptLife(attemptChart()), now, false};
  ++dispatches_;
  ++countedAttempts_;
  return {Dispatch{attempt, placement, delivered_, deliveredText_}};
}

FlowActions RequestFlow::onPlacementRefused(const Error& error, Time /*now*/) {
  if (state() != RequestState::kPlacing) {
    return {};
  }
  FlowActions actions;
  Error answer = error;
  answer.runState = runState();
  refuse(std::move(answer), actions);
  return actions;
}

FlowActions RequestFlow::onFrame(const AttemptId& attempt, const StreamFrame& frame, Time now) {
  if (!isCurrent(attempt)) {
    return {};
  }
  FlowActions actions;
  if (!isPlausible(frame)) {
    giveUpAttempt(actions);
    placeAgain(actions);
    return actions;
  }
  const int64_t frameEnd = frame.position + frame.tokens;
  const bool isNew = frameEnd > delivered_;
  if (isNew && frame.position != delivered_) {
    // A gap, or an overlap whose text cannot be cut at a token: ask for the exact position.
    // While resuming, it is a frame of the former connection; the exact one is under way.
    if (attempt_->life.state() != AttemptState::kResuming) {
      interrupt(now, actions);
    }
    return actions;
  }
  if (isNew) {
    deliver(frame, now, actions);
  }
  // Here the caller has everything before frameEnd, so that an end is the end of the whole answer.
  if (frame.end || delivered_ == limits_.maxTokens) {
    finish(actions);
  }
  return actions;
}

FlowActions RequestFlow::onAttemptFailed(const AttemptId& attempt, const Error& error, Time now) {
  if (!isCurrent(attempt)) {
    return {};
  }
  FlowActions actions;
  if (isRefusal(error)) {
    onAttemptRefused(error, actions);
  } else {
    interrupt(now, actions);
  }
  return actions;
}

FlowActions RequestFlow::onTick(Time now) {
  FlowActions actions;
  if (done()) {
    return actions;
  }
  if (now >= end_) {
    giveUpAttempt(actions);
    refuse(timeoutError(), actions);
    return actions;
  }
  if (attempt_ && state() == RequestState::kAttempting &&
      now >= attempt_->lastProgress + patience()) {
    interrupt(now, actions);
  }
  return actions;
}

FlowActions RequestFlow::onCallerGone(Time /*now*/) {
  FlowActions actions;
  if (done()) {
    return actions;
  }
  giveUpAttempt(actions);
  advance(life_, RequestEvent::kCallerGone);
  return actions;
}

std::optional<Time> RequestFlow::nextDeadline() const {
  if (done()) {
    return std::nullopt;
  }
  if (state() != RequestState::kAttempting) {
    return end_;
  }
  return std::min(end_, attempt_->lastProgress + patience());
}

bool RequestFlow::done() const {
  return life_.isFinished();
}

std::optional<AttemptState> RequestFlow::attemptState() const {
  return attempt_ ? std::make_optional(attempt_->life.state()) : std::nullopt;
}

bool RequestFlow::isCurrent(const AttemptId& attempt) const {
  return state() == RequestState::kAttempting && attempt_->id == attempt;
}

Duration RequestFlow::patience() const {
  return attempt_->hasBroughtFrames ? limits_.stallTimeout : limits_.firstFrameTimeout;
}

void RequestFlow::deliver(const StreamFrame& frame, Time now, FlowActions& actions) {
  actions.emplace_back(DeliverText{frame.position, frame.tokens, frame.text});
  delivered_ += frame.tokens;
  deliveredText_ += frame.text;
  advance(attempt_->life, AttemptEvent::kFrame);
  attempt_->lastProgress = now;
  attempt_->hasBroughtFrames = true;
}

void RequestFlow::finish(FlowActions& actions) {
  advance(attempt_->life, AttemptEvent::kEnd);
  advance(life_, RequestEvent::kComplete);
  actions.emplace_back(Finish{delivered_});
}

void RequestFlow::interrupt(Time now, FlowActions& actions) {
  if (attempt_->life.state() == AttemptState::kResuming) {
    // The engine had its chance to repeat.
    giveUpAttempt(actions);
    placeAgain(actions);
    return;
  }
  advance(attempt_->life, AttemptEvent::kInterrupted);
  attempt_->lastProgress = now;
  actions.emplace_back(Resume{attempt_->id, attempt_->placement, delivered_});
}

void RequestFlow::giveUpAttempt(FlowActions& actions) {
  if (state() != RequestState::kAttempting) {
    return;
  }
  advance(attempt_->life, AttemptEvent::kGiveUp);
  mayHaveRun_ = true;
  actions.emplace_back(CancelAttempt{attempt_->id, attempt_->placement});
}

void RequestFlow::onAttemptRefused(const Error& error, FlowActions& actions) {
  // An error in answer to a resume says nothing of whether the attempt ran before.
  const bool didNotRun =
      attempt_->life.state() == AttemptState::kDispatched && error.runState == RunState::kNotRun;
  advance(attempt_->life, AttemptEvent::kRefused);
  if (!didNotRun) {
    mayHaveRun_ = true;
  } else if (isMisplacement(error) && misplacements_ < limits_.maxMisplacements) {
    ++misplacements_;
    --countedAttempts_;
  }
  placeAgain(actions);
}

void RequestFlow::placeAgain(FlowActions& actions) {
  const EngineId& engine = attempt_->placement.engine;
  if (std::find(failedEngines_.begin(), failedEngines_.end(), engine) == failedEngines_.end()) {
    failedEngines_.push_back(engine);
  }
  if (!mayDispatchAgain()) {
    refuse(exhaustedError(), actions);
    return;
  }
  advance(life_, RequestEvent::kAttemptLost);
  actions.emplace_back(Place{failedEngines_});
}

bool RequestFlow::isPlausible(const StreamFrame& frame) const {
  if (frame.position < 0 || frame.tokens < 0 || frame.position > limits_.maxTokens ||
      frame.tokens > limits_.maxTokens - frame.position) {
    return false;
  }
  // An end before what was delivered: the engine contradicts itself, no repetition can mend that.
  return !frame.end || frame.position + frame.tokens >= delivered_;
}

bool RequestFlow::mayDispatchAgain() const {
  if (adopted_ || (!limits_.repeatable && mayHaveRun_)) {
    return false;
  }
  return countedAttempts_ < limits_.maxAttempts;
}

void RequestFlow::refuse(Error error, FlowActions& actions) {
  advance(life_, RequestEvent::kRefuse);
  if (!error.retryAfter) {
    error.retryAfter = limits_.retryAfter;
  }
  actions.emplace_back(Refuse{std::move(error)});
}

RunState RequestFlow::runState() const {
  if (delivered_ > 0) {
    return RunState::kRan;
  }
  return mayHaveRun_ ? RunState::kUnknown : RunState::kNotRun;
}

Error RequestFlow::timeoutError() const {
  return Error{ErrorKind::kTimeout,
               "the request's deadline passed before the answer was complete; send it again after "
               "the time in Retry-After, or have the row's deadline raised.",
               runState(), std::nullopt};
}

Error RequestFlow::exhaustedError() const {
  if (!limits_.repeatable && mayHaveRun_) {
    return Error{ErrorKind::kOutcomeUnknown,
                 "the back end was lost while it had the request, which must not be sent twice; "
                 "ask for its outcome with the same Idempotency-Key.",
                 runState(), std::nullopt};
  }
  return Error{ErrorKind::kUnavailable,
               "every engine that was tried failed; send the request again after the time in "
               "Retry-After.",
               runState(), std::nullopt};
}

}  // namespace fernmoor
