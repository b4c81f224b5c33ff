#include "relay/stream_relay.h"

#include <algorithm>
#include <utility>

namespace fernmoor {

namespace {

constexpr Duration kMinimumWait{1000};

void append(std::deque<FlowAction>& pending, FlowActions actions) {
  std::move(actions.begin(), actions.end(), std::back_inserter(pending));
}

Error connectionLost() {
  return Error{ErrorKind::kUnavailable, "the connection to the engine broke.", RunState::kUnknown,
               std::nullopt};
}

}  // namespace

StreamRelay::StreamRelay(EngineClient& engines, const Clock& clock, EnginePlacer& placer,
                         AnswerSink& sink, RelayRequest request, FlowLimits limits)
    : engines_(engines),
      clock_(clock),
      placer_(placer),
      sink_(sink),
      request_(std::move(request)),
      start_(clock.now()),
      flow_(limits, start_) {}

void StreamRelay::run(RequestRecord& record) {
  record_ = &record;
  pump(flow_.begin());
}

void StreamRelay::runAdopted(const Placement& placement, const AttemptId& attempt, int64_t position,
                             RequestRecord& record) {
  record_ = &record;
  streamPlacement_ = placement;
  streamAttempt_ = attempt;
  record.attempts.push_back(
      AttemptRecord{attempt, placement.engine, "resumed by the caller", 0, {}, ""});
  pump(flow_.adopt(placement, attempt, position, start_));
}

void StreamRelay::pump(FlowActions first) {
  append(pending_, std::move(first));
  while (!pending_.empty() || !flow_.done()) {
    if (pending_.empty()) {
      readOnce();
      continue;
    }
    const FlowAction action = std::move(pending_.front());
    pending_.pop_front();
    execute(action);
  }
  reportAttemptEnded();
  record_->deliveredTokens = flow_.deliveredTokens();
  record_->total = clock_.now() - start_;
}

void StreamRelay::execute(const FlowAction& action) {
  if (const auto* wanted = std::get_if<Place>(&action)) {
    place(*wanted);
  } else if (const auto* wanted = std::get_if<Dispatch>(&action)) {
    dispatch(*wanted);
  } else if (const auto* wanted = std::get_if<Resume>(&action)) {
    resume(*wanted);
  } else if (const auto* wanted = std::get_if<CancelAttempt>(&action)) {
    cancel(*wanted);
  } else if (const auto* wanted = std::get_if<DeliverText>(&action)) {
    deliver(*wanted);
  } else if (const auto* wanted = std::get_if<Finish>(&action)) {
    setAttemptResult("ended");
    record_->runState = RunState::kRan;
    sink_.finish(wanted->totalTokens);
  } else if (const auto* wanted = std::get_if<Refuse>(&action)) {
    refuse(*wanted);
  }
}

void StreamRelay::place(const Place& action) {
  const Result<PlacedAttempt> placed = placer_.place(action.excluded);
  if (!isOk(placed)) {
    append(pending_, flow_.onPlacementRefused(errorOf(placed), clock_.now()));
    return;
  }
  const PlacedAttempt& chosen = valueOf(placed);
  const AttemptId attempt = nextAttemptId();
  record_->attempts.push_back(AttemptRecord{attempt, chosen.placement.engine, chosen.reason,
                                            chosen.expectedSeconds, chosen.considered, ""});
  append(pending_, flow_.onPlaced(chosen.placement, attempt, clock_.now()));
}

void StreamRelay::dispatch(const Dispatch& action) {
  GenerateRequest request;
  request.attempt = action.attempt;
  request.request = request_.id;
  request.tenant = request_.tenant;
  request.model = request_.model;
  request.adapter = request_.adapter;
  request.placement = action.placement;
  request.priority = request_.priority;
  request.prompt = request_.prompt;
  request.firstPosition = action.firstPosition;
  request.maxTokens = request_.maxTokens;
  announced_ = false;
  reportAttemptEnded();
  occupiesEngine_ = true;
  openStream(action.attempt, action.placement, engines_.generate(request, untilDeadline()));
}

void StreamRelay::resume(const Resume& action) {
  openStream(action.attempt, action.placement,
             engines_.resume(action.placement, action.attempt, action.position, untilDeadline()));
}

void StreamRelay::openStream(const AttemptId& attempt, const Placement& placement,
                             Result<std::unique_ptr<AttemptStream>> opened) {
  stream_.reset();
  streamAttempt_ = attempt;
  streamPlacement_ = placement;
  if (!isOk(opened)) {
    onAttemptFailed(attempt, placement, errorOf(opened));
    return;
  }
  stream_ = std::move(valueOf(opened));
}

void StreamRelay::cancel(const CancelAttempt& action) {
  if (action.attempt == streamAttempt_) {
    stream_.reset();
  }
  setAttemptResult("given up");
  engines_.cancel(action.placement.address, action.attempt);
}

void StreamRelay::deliver(const DeliverText& action) {
  if (!record_->timeToFirstToken) {
    record_->timeToFirstToken = clock_.now() - start_;
  }
  record_->runState = RunState::kRan;
  updateCallerPresence(sink_.text(action.position, action.tokens, action.text));
}

void StreamRelay::refuse(const Refuse& action) {
  setAttemptResult(toString(action.error.kind));
  record_->refusal = action.error;
  record_->runState = action.error.runState;
  sink_.refuse(action.error);
}

void StreamRelay::readOnce() {
  if (stream_ == nullptr) {
    append(pending_, flow_.onTick(flow_.nextDeadline().value_or(clock_.now())));
    return;
  }
  const AttemptRead read = stream_->next(untilDeadline(), sink_.callerSocket());
  if (const auto* frame = std::get_if<AttemptFrame>(&read)) {
    onFrame(*frame);
  } else if (std::holds_alternative<StreamInterrupted>(read)) {
    updateCallerPresence(!sink_.callerGone());
  } else if (std::holds_alternative<StreamClosed>(read)) {
    stream_.reset();
    onAttemptFailed(streamAttempt_, streamPlacement_, connectionLost());
  }
  append(pending_, flow_.onTick(clock_.now()));
}

void StreamRelay::onFrame(const AttemptFrame& frame) {
  if (!announced_) {
    announced_ = true;
    record_->promptTokens = std::max(record_->promptTokens, frame.promptTokens);
    record_->cachedTokens = std::max(record_->cachedTokens, frame.cachedTokens);
    placer_.reportCacheHit(streamPlacement_, frame);
    updateCallerPresence(sink_.attemptStarted(streamAttempt_, streamPlacement_, frame));
  }
  StreamFrame streamFrame{frame.position, frame.tokens, frame.text, frame.end};
  append(pending_, flow_.onFrame(streamAttempt_, streamFrame, clock_.now()));
}

void StreamRelay::onAttemptFailed(const AttemptId& attempt, const Placement& placement,
                                  const Error& error) {
  placer_.reportFailure(placement, error);
  setAttemptResult(toString(error.kind));
  append(pending_, flow_.onAttemptFailed(attempt, error, clock_.now()));
}

void StreamRelay::updateCallerPresence(bool present) {
  if (!present && !flow_.done()) {
    append(pending_, flow_.onCallerGone(clock_.now()));
  }
}

void StreamRelay::reportAttemptEnded() {
  if (occupiesEngine_) {
    placer_.reportEnded(streamPlacement_);
  }
  occupiesEngine_ = false;
}

Duration StreamRelay::untilDeadline() const {
  const std::optional<Time> deadline = flow_.nextDeadline();
  if (!deadline) {
    return kMinimumWait;
  }
  return std::max(kMinimumWait, *deadline - clock_.now());
}

void StreamRelay::setAttemptResult(const std::string& result) {
  if (!record_->attempts.empty() && record_->attempts.back().result != "ended") {
    record_->attempts.back().result = result;
  }
}

AttemptId StreamRelay::nextAttemptId() {
  ++attemptCount_;
  return AttemptId(request_.id.value() + "." + std::to_string(attemptCount_));
}

}  // namespace fernmoor
