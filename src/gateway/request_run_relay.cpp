#include <algorithm>

#include "gateway/answer_headers.h"
#include "gateway/request_run.h"

namespace fernmoor::gateway {

namespace {

constexpr int kFirstServerError = 500;
/// Answers up to this size are held back until they are whole, so that a broken one can be asked
/// for again and never reaches the caller. Where the budget for all of them has no room, they are
/// passed on as longer ones are.
constexpr size_t kHeldAnswerBytes = 256U << 10U;
/// Longest event of a stream, which is held until it is whole so that the stream can go on after
/// it; as long as a held answer.
constexpr size_t kMostEventBytes = kHeldAnswerBytes;
/// Events up to about one read are not counted against the budget: each stream may hold one.
constexpr size_t kEventPieceBytes = 16U << 10U;

}  // namespace

RequestRun::Next RequestRun::relayWhole(EngineAttempt& attempt) {
  if (headSent_) {  // A resumed stream was answered with something else.
    return afterStep(AttemptStep::kBroken);
  }
  std::string body;
  std::string bytes;
  while (!attempt.bodyComplete()) {
    const AttemptStep step = attempt.readBody(caller_, request_.deadline + kLastWordGrace, bytes);
    if (step != AttemptStep::kDone) {
      return afterStep(step);
    }
    body += bytes;
    if (body.size() > kHeldAnswerBytes || !heldBytes_.add(bytes.size())) {
      return passOnLarge(attempt, std::move(body));
    }
  }
  attempt.keepConnection();
  const int status = static_cast<int>(attempt.head().getStatus());
  const bool failed = status >= kFirstServerError;
  const bool asksForRest = attempt.facts().rest > Duration(0);  // That is no sign of its health.
  const BackendVerdict ofFailure = asksForRest ? BackendVerdict::kNeutral : BackendVerdict::kFailed;
  noteEnd(failed ? ofFailure : BackendVerdict::kServed,
          failed ? AttemptEnd::kFailed : AttemptEnd::kServed);
  ++runs_;
  mayHaveRun_ = true;
  held_.emplace(HeldAnswer{answerHeadOf(attempt.head(), request_.method), std::move(body)});
  held_->head.contentLength = held_->body.size();
  const Time now = services_.clock.now();
  if (failed && mayRunElsewhere() && now < request_.deadline &&
      services_.budget.trySecondSend(request_.pool, now)) {
    secondSendPaid_ = true;
    return Next::kElsewhere;
  }
  deliverHeld();
  return Next::kFinished;
}

void RequestRun::deliverHeld() {
  metrics_.observeFirstToken(services_.clock.now() - request_.arrivedAt);
  headSent_ = true;
  callerGone_ =
      !caller_.sendHead(held_->head) || !caller_.sendBody(held_->body) || !caller_.finish();
}

RequestRun::Next RequestRun::passOnLarge(EngineAttempt& attempt, std::string body) {
  AnswerHead head = answerHeadOf(attempt.head(), request_.method);
  if (attempt.bodyShape().framing == BodyFraming::kLength) {
    head.contentLength = attempt.bodyShape().length;
  }
  headSent_ = true;
  mayHaveRun_ = true;
  ++runs_;
  bool sent = caller_.sendHead(head) && caller_.sendBody(body);
  while (sent && !attempt.bodyComplete()) {
    const AttemptStep step = attempt.readBody(caller_, request_.deadline + kLastWordGrace, body);
    if (step != AttemptStep::kDone) {
      noteEnd(BackendVerdict::kFailed, howItBroke());
      return Next::kGiveUp;
    }
    sent = body.empty() || caller_.sendBody(body);
  }
  noteEnd(BackendVerdict::kServed, AttemptEnd::kServed);
  callerGone_ = !sent || !caller_.finish();
  attempt.keepConnection();
  return Next::kFinished;
}

bool RequestRun::sendStreamHead(EngineAttempt& attempt) {
  if (headSent_) {
    return true;
  }
  headSent_ = true;
  return caller_.sendHead(answerHeadOf(attempt.head(), request_.method));
}

void RequestRun::noteEvents(Time now) {
  noteBackendAlive();
  if (!beginDeadline_.hasBegun()) {
    beginDeadline_.noteBegun();
    reportOldWeights();
  }
  if (firstEventAt_) {
    longestPause_ = std::max(longestPause_, now - lastEventAt_);
    metrics_.observeTokenInterval(now - lastEventAt_);
  } else {
    firstEventAt_ = now;
    metrics_.observeFirstToken(now - request_.arrivedAt);
    forwarder_.planner_.notePartsRead(request_, plan_, now - sentAt_);
  }
  lastEventAt_ = now;
}

bool RequestRun::forwardEvents(EventSplitter& events) {
  std::string whole;
  while (std::optional<RawEvent> event = events.next()) {
    if (!event->id.empty()) {
      lastEventId_ = event->id;
    }
    whole += event->bytes;
  }
  if (whole.empty()) {
    return true;
  }
  noteEvents(services_.clock.now());
  return caller_.sendBody(whole);
}

bool RequestRun::mayHold(const EventSplitter& events) {
  const size_t bytes = events.partialBytes();
  return bytes <= kMostEventBytes && heldBytes_.resize(bytes > kEventPieceBytes ? bytes : 0);
}

RequestRun::Next RequestRun::relayStream(EngineAttempt& attempt) {
  EventSplitter events;
  std::string bytes;
  while (!attempt.bodyComplete()) {
    const AttemptStep step = readStream(attempt, bytes);
    if (step != AttemptStep::kDone) {
      return afterStep(step);
    }
    if (bytes.empty()) {
      continue;
    }
    notePromptRead();
    events.add(bytes);
    if (!sendStreamHead(attempt) || !forwardEvents(events)) {
      return afterStep(AttemptStep::kCallerGone);
    }
    if (!mayHold(events)) {  // No fault of its engine where others hold too much.
      noteEnd(BackendVerdict::kNeutral, AttemptEnd::kBroken);
      mayHaveRun_ = true;
      return Next::kGiveUp;
    }
  }
  if (events.hasPartialEvent()) {
    return afterStep(AttemptStep::kBroken);
  }
  noteEnd(BackendVerdict::kServed, AttemptEnd::kServed);
  attempt.keepConnection();
  callerGone_ = !sendStreamHead(attempt) || !caller_.finish();
  return Next::kFinished;
}

}  // namespace fernmoor::gateway
