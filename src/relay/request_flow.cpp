#include "relay/request_flow.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fernmoor {

namespace {

/// Whether the engine was chosen from a stale view, so that another choice may well succeed.
bool isStalePlacement(const Error& error) {
  return error.kind == ErrorKind::kWrongIncarnation || error.kind == ErrorKind::kWrongWeights;
}

/// Whether the engine said that it does not run the attempt, so that resuming is pointless.
bool isRejection(const Error& error) {
  return error.runState == RunState::kNotRun || isStalePlacement(error) ||
         error.kind == ErrorKind::kNotFound;
}

/// Fires an event. An event that is invalid in the current state is a bug of this module.
/// @throws std::logic_error for such an event.
template <class Machine, class Event>
void advance(Machine& machine, Event event) {
  const auto next = machine.fire(event);
  if (!isOk(next)) {
    throw std::logic_error(errorOf(next).message);
  }
}

}  // namespace

RequestFlow::RequestFlow(FlowLimits limits, Time start)
    : limits_(limits), end_(start + limits.deadline), machine_(requestChart()) {}

FlowActions RequestFlow::begin() {
  return {Place{}};
}

FlowActions RequestFlow::adopt(const Placement& placement, const AttemptId& attempt,
                               int64_t position, Time now) {
  adopted_ = true;
  mayHaveRun_ = true;
  delivered_ = position;
  advance(machine_, RequestEvent::kPlaced);
  attempt_ = Attempt{attempt, placement, AttemptStateMachine(attemptChart()), now, false};
  FlowActions actions;
  resumeOrGiveUp(now, actions);
  return actions;
}

FlowActions RequestFlow::onPlaced(const Placement& placement, const AttemptId& attempt, Time now) {
  if (state() != RequestState::kPlacing) {
    return {};
  }
  if (now >= end_) {
    return onTick(now);
  }
  advance(machine_, RequestEvent::kPlaced);
  attempt_ = Attempt{attempt, placement, AttemptStateMachine(attemptChart()), now, false};
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
    retryPlacement(actions);
    return actions;
  }
  const int64_t frameEnd = frame.position + frame.tokens;
  const bool isNew = frameEnd > delivered_;
  if (isNew && frame.position != delivered_) {
    // A gap, or an overlap whose text cannot be split at a token: ask for the exact position. While
    // resuming, the frame is from the previous connection, and the exact one is still to come.
    if (attempt_->machine.state() != AttemptState::kResuming) {
      resumeOrGiveUp(now, actions);
    }
    return actions;
  }
  if (isNew) {
    deliver(frame, now, actions);
  }
  // The caller now has everything before frameEnd, so an end frame ends the whole answer.
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
  if (isRejection(error)) {
    onAttemptRefused(error, actions);
  } else {
    resumeOrGiveUp(now, actions);
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
      now >= attempt_->lastProgress + progressTimeout()) {
    resumeOrGiveUp(now, actions);
  }
  return actions;
}

FlowActions RequestFlow::onCallerGone(Time /*now*/) {
  FlowActions actions;
  if (done()) {
    return actions;
  }
  giveUpAttempt(actions);
  advance(machine_, RequestEvent::kCallerGone);
  return actions;
}

std::optional<Time> RequestFlow::nextDeadline() const {
  if (done()) {
    return std::nullopt;
  }
  if (state() != RequestState::kAttempting) {
    return end_;
  }
  return std::min(end_, attempt_->lastProgress + progressTimeout());
}

bool RequestFlow::done() const {
  return machine_.isFinished();
}

std::optional<AttemptState> RequestFlow::attemptState() const {
  return attempt_ ? std::make_optional(attempt_->machine.state()) : std::nullopt;
}

bool RequestFlow::isCurrent(const AttemptId& attempt) const {
  return state() == RequestState::kAttempting && attempt_->id == attempt;
}

Duration RequestFlow::progressTimeout() const {
  return attempt_->hasReceivedFrames ? limits_.stallTimeout : limits_.firstFrameTimeout;
}

void RequestFlow::deliver(const StreamFrame& frame, Time now, FlowActions& actions) {
  actions.emplace_back(DeliverText{frame.position, frame.tokens, frame.text});
  delivered_ += frame.tokens;
  deliveredText_ += frame.text;
  advance(attempt_->machine, AttemptEvent::kFrame);
  attempt_->lastProgress = now;
  attempt_->hasReceivedFrames = true;
}

void RequestFlow::finish(FlowActions& actions) {
  advance(attempt_->machine, AttemptEvent::kEnd);
  advance(machine_, RequestEvent::kComplete);
  actions.emplace_back(Finish{delivered_});
}

void RequestFlow::resumeOrGiveUp(Time now, FlowActions& actions) {
  if (attempt_->machine.state() == AttemptState::kResuming) {
    // Resuming was already tried.
    giveUpAttempt(actions);
    retryPlacement(actions);
    return;
  }
  advance(attempt_->machine, AttemptEvent::kInterrupted);
  attempt_->lastProgress = now;
  actions.emplace_back(Resume{attempt_->id, attempt_->placement, delivered_});
}

void RequestFlow::giveUpAttempt(FlowActions& actions) {
  if (state() != RequestState::kAttempting) {
    return;
  }
  advance(attempt_->machine, AttemptEvent::kGiveUp);
  mayHaveRun_ = true;
  actions.emplace_back(CancelAttempt{attempt_->id, attempt_->placement});
}

void RequestFlow::onAttemptRefused(const Error& error, FlowActions& actions) {
  // An error in answer to a resume says nothing about whether the attempt ran earlier.
  const bool didNotRun =
      attempt_->machine.state() == AttemptState::kDispatched && error.runState == RunState::kNotRun;
  advance(attempt_->machine, AttemptEvent::kRefused);
  if (!didNotRun) {
    mayHaveRun_ = true;
  } else if (isStalePlacement(error) && stalePlacements_ < limits_.maxStalePlacements) {
    ++stalePlacements_;
    --countedAttempts_;
  }
  retryPlacement(actions);
}

void RequestFlow::retryPlacement(FlowActions& actions) {
  const EngineId& engine = attempt_->placement.engine;
  if (std::find(failedEngines_.begin(), failedEngines_.end(), engine) == failedEngines_.end()) {
    failedEngines_.push_back(engine);
  }
  if (!mayDispatchAgain()) {
    refuse(exhaustedError(), actions);
    return;
  }
  advance(machine_, RequestEvent::kAttemptLost);
  actions.emplace_back(Place{failedEngines_});
}

bool RequestFlow::isPlausible(const StreamFrame& frame) const {
  if (frame.position < 0 || frame.tokens < 0 || frame.position > limits_.maxTokens ||
      frame.tokens > limits_.maxTokens - frame.position) {
    return false;
  }
  // An end before the delivered position contradicts the engine's earlier frames, so resuming
  // cannot help.
  return !frame.end || frame.position + frame.tokens >= delivered_;
}

bool RequestFlow::mayDispatchAgain() const {
  if (adopted_ || (!limits_.repeatable && mayHaveRun_)) {
    return false;
  }
  return countedAttempts_ < limits_.maxAttempts;
}

void RequestFlow::refuse(Error error, FlowActions& actions) {
  advance(machine_, RequestEvent::kRefuse);
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
