/// @file
/// Relays the answer of a back end to the caller, buffered or as a stream of whole events.
#include <algorithm>

#include "gateway/answer_headers.h"
#include "gateway/request_run.h"

namespace fernmoor::gateway {

namespace {

constexpr int kFirstServerError = 500;
/// Answers up to this size are buffered until they are complete, so that the request can be retried
/// after a broken one, which never reaches the caller. If the memory budget for all buffered
/// answers is exhausted, they are relayed unbuffered, like longer ones.
constexpr size_t kMaxBufferedAnswerBytes = 256U << 10U;
/// Longest event of a stream. An event is buffered until it is complete, so that the stream can be
/// resumed after it; the limit is that of a buffered answer.
constexpr size_t kMaxEventBytes = kMaxBufferedAnswerBytes;
/// Incomplete events up to about the size of one read are not charged to the memory budget: each
/// stream may buffer one.
constexpr size_t kUncountedEventBytes = 16U << 10U;
/// A buffered answer is sent in pieces of this size, each of which the caller's buffer may copy.
constexpr size_t kPieceBytes = 64U << 10U;
/// An answer that is relayed unbuffered may be of any length: it is read from the engine only while
/// the caller has less than this left to take.
constexpr size_t kMaxReadAheadBytes = CallerBuffer::kMaxBytes / 2;
/// A caller that has taken nothing for this long (1 s) is not reading.
constexpr Duration kMinStall{1000000};

}  // namespace

RequestRun::Next RequestRun::relayBuffered(EngineAttempt& attempt) {
  if (headSent_) {  // A resumed stream was answered with something other than a stream.
    return afterStep(AttemptStep::kBroken);
  }
  std::string body;
  std::string bytes;
  while (!attempt.bodyComplete()) {
    const AttemptStep step = readBody(attempt, request_.deadline + kAnswerGrace, bytes);
    if (step != AttemptStep::kDone) {
      return afterStep(step);
    }
    body += bytes;
    if (body.size() > kMaxBufferedAnswerBytes || !heldBytes_.add(bytes.size())) {
      return relayUnbuffered(attempt, std::move(body));
    }
  }
  attempt.keepConnection();
  const int status = static_cast<int>(attempt.head().getStatus());
  const bool failed = status >= kFirstServerError;
  const bool asksForRest =
      attempt.facts().rest >
      Duration(0);  // A request for rest says nothing about the engine's health.
  const BackendVerdict ofFailure = asksForRest ? BackendVerdict::kNeutral : BackendVerdict::kFailed;
  recordAttemptEnd(failed ? ofFailure : BackendVerdict::kServed,
                   failed ? AttemptEnd::kFailed : AttemptEnd::kServed);
  ++runs_;
  mayHaveRun_ = true;
  bufferedAnswer_.emplace(
      BufferedAnswer{answerHeadOf(attempt.head(), request_.method), std::move(body)});
  bufferedAnswer_->head.contentLength = bufferedAnswer_->body.size();
  const Time now = services_.clock.now();
  if (failed && mayRunElsewhere() && now < request_.deadline &&
      services_.budget.tryRetry(request_.pool, now)) {
    retryCharged_ = true;
    return Next::kTryAnother;
  }
  deliverBuffered();
  return Next::kFinished;
}

void RequestRun::deliverBuffered() {
  metrics_.observeFirstToken(services_.clock.now() - request_.arrivedAt);
  headSent_ = true;
  callerGone_ = !caller_.sendHead(bufferedAnswer_->head) ||
                !sendInPieces(bufferedAnswer_->body, false) || !caller_.finish() ||
                !awaitCaller(0, false);
}

AttemptStep RequestRun::readBody(EngineAttempt& attempt, Time deadline, std::string& bytes) {
  const AttemptStep step = attempt.readBody(caller_, deadline, bytes);
  wasLeftUnread_ = attempt.wasLeftUnread();
  return step;
}

bool RequestRun::sendInPieces(std::string_view bytes, bool engineWaits) {
  while (!bytes.empty()) {
    const std::string_view piece = bytes.substr(0, kPieceBytes);
    if (!awaitCaller(0, engineWaits) || !caller_.sendBody(piece)) {
      return false;
    }
    bytes.remove_prefix(piece.size());
  }
  return true;
}

bool RequestRun::awaitCaller(size_t mostLeft, bool engineWaits) {
  CallerBuffer* buffer = caller_.buffer();
  while (buffer != nullptr && buffer->size() > mostLeft) {
    const Duration left = request_.deadline + kAnswerGrace - services_.clock.now();
    const bool stalls = engineWaits && buffer->stalledFor() >= kUnresponsiveCallerTimeout;
    if (left <= Duration(0) || stalls) {
      buffer->giveUp();
      return false;
    }
    if (!buffer->flushWithin(std::min(left, kLongestWaitPiece)) || !buffer->mayGoOn()) {
      return false;
    }
  }
  return true;
}

bool RequestRun::callerMayGoOn() {
  CallerBuffer* buffer = caller_.buffer();
  return buffer == nullptr || buffer->mayGoOn();
}

bool RequestRun::callerReads() {
  const CallerBuffer* buffer = caller_.buffer();
  return buffer == nullptr || buffer->stalledFor() < kMinStall;
}

RequestRun::Next RequestRun::relayUnbuffered(EngineAttempt& attempt, std::string body) {
  AnswerHead head = answerHeadOf(attempt.head(), request_.method);
  if (attempt.bodyShape().framing == BodyFraming::kLength) {
    head.contentLength = attempt.bodyShape().length;
  }
  headSent_ = true;
  mayHaveRun_ = true;
  ++runs_;
  bool sent = caller_.sendHead(head) && sendInPieces(body, true);
  body = std::string();
  heldBytes_.clear();
  while (sent && !attempt.bodyComplete()) {
    if (!awaitCaller(kMaxReadAheadBytes, true)) {
      return afterStep(AttemptStep::kCallerGone);
    }
    const AttemptStep step = readBody(attempt, request_.deadline + kAnswerGrace, body);
    if (step == AttemptStep::kCallerGone) {
      return afterStep(step);
    }
    if (step != AttemptStep::kDone) {
      return afterBreak() == Next::kFinished ? Next::kFinished : Next::kGiveUp;
    }
    sent = callerMayGoOn() && (body.empty() || caller_.sendBody(body));
  }
  if (!sent) {
    return afterStep(AttemptStep::kCallerGone);
  }
  recordAttemptEnd(BackendVerdict::kServed, AttemptEnd::kServed);
  attempt.keepConnection();
  callerGone_ = !caller_.finish() || !awaitCaller(0, false);
  return Next::kFinished;
}

bool RequestRun::sendStreamHead(EngineAttempt& attempt) {
  if (headSent_) {
    return true;
  }
  headSent_ = true;
  AnswerHead head = answerHeadOf(attempt.head(), request_.method);
  if (request_.cameFromPeer) {
    head.software = boundSoftware_;
  }
  return caller_.sendHead(head);
}

void RequestRun::recordEvents(Time now) {
  recordBackendAlive();
  if (!beginDeadline_.hasBegun()) {
    beginDeadline_.noteBegun();
    reportOldWeights();
  }
  if (firstEventAt_) {
    longestPause_ = std::max(longestPause_, now - lastEventAt_);
    if (lastEventAt_ >= sentAt_) {
      ++pace_.events;
      pace_.stepping += now - lastEventAt_;
      pace_.longestPause = std::max(pace_.longestPause, now - lastEventAt_);
    }
    metrics_.observeTokenInterval(now - lastEventAt_);
  } else {
    firstEventAt_ = now;
    metrics_.observeFirstToken(now - request_.arrivedAt);
    if (!currentPeer_) {
      forwarder_.planner_.noteFirstEvent(request_, tokensToRead_, now - sentAt_);
      forwarder_.planner_.notePartsRead(request_, plan_, now - sentAt_);
    }
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
  recordEvents(services_.clock.now());
  return caller_.sendBody(whole);
}

bool RequestRun::mayBuffer(const EventSplitter& events) {
  const size_t bytes = events.partialBytes();
  return heldBytes_.resize(bytes > kUncountedEventBytes ? bytes : 0);
}

RequestRun::Next RequestRun::relayStream(EngineAttempt& attempt) {
  EventSplitter events;
  std::string bytes;
  while (!attempt.bodyComplete()) {
    const AttemptStep step = readStream(attempt, bytes);
    if (step != AttemptStep::kDone) {
      return afterStep(step);
    }
    if (!callerMayGoOn()) {
      return afterStep(AttemptStep::kCallerGone);
    }
    if (bytes.empty()) {
      continue;
    }
    recordPromptRead();
    if (!bindStream(attempt)) {
      return leaveOtherSoftware();
    }
    events.add(bytes);
    if (!sendStreamHead(attempt) || !forwardEvents(events)) {
      return afterStep(AttemptStep::kCallerGone);
    }
    if (events.partialBytes() > kMaxEventBytes) {
      recordAttemptEnd(BackendVerdict::kFailed, AttemptEnd::kBroken);
      const Next next = afterUnknownRun();
      return headSent_ ? Next::kGiveUp : next;
    }
    if (!mayBuffer(
            events)) {  // The budget may be used up by other requests, so the engine is not blamed.
      recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kBroken);
      mayHaveRun_ = true;
      return Next::kGiveUp;
    }
  }
  if (events.hasPartialEvent()) {
    return afterStep(AttemptStep::kBroken);
  }
  recordAttemptEnd(BackendVerdict::kServed, AttemptEnd::kServed);
  attempt.keepConnection();
  callerGone_ = !sendStreamHead(attempt) || !caller_.finish() || !awaitCaller(0, false);
  return Next::kFinished;
}

}  // namespace fernmoor::gateway
