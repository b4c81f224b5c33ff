/// @file
/// How a request ends: what its caller is told, and what is logged and counted.
#include "common/log.h"
#include "gateway/request_run.h"
#include "gateway/send_decisions.h"

namespace fernmoor::gateway {

std::optional<LateCause> RequestRun::lateCause(Time now) const {
  if (firstEventAt_.value_or(now) - request_.arrivedAt > request_.row->target) {
    return LateCause::kFirstEvent;
  }
  const Duration mostPause = request_.row->longestPause;
  const bool pausedTooLong = mostPause > Duration(0) && longestPause_ > mostPause;
  return pausedTooLong ? std::optional(LateCause::kPause) : std::nullopt;
}

/// Logs requests that were delivered in time at debug level only, and one line for each other
/// request, within a log budget.
void RequestRun::logEnd(RequestOutcome outcome) {
  const std::optional<LateCause> late =
      outcome == RequestOutcome::kDelivered ? lateCause(services_.clock.now()) : std::nullopt;
  if (late) {
    metrics_.countLateAnswer(*late);
  }
  const bool wentWell = outcome == RequestOutcome::kDelivered && !late;
  logLine(outcome, wentWell ? LogLevel::kDebug : LogLevel::kInfo, late);
}

void RequestRun::logLine(RequestOutcome outcome, LogLevel level, std::optional<LateCause> late) {
  const Time now = services_.clock.now();
  const bool wentWell = level == LogLevel::kDebug;
  if (!logEnabled(level)) {
    return;
  }
  const std::optional<uint64_t> leftOut = forwarder_.outcomeLog_.take(outcome, wentWell, now);
  if (!leftOut) {
    return;
  }
  LogFields fields;
  fields.request = RequestId(request_.id);
  fields.tenant = TenantId(request_.tenant ? request_.tenant->name : "");
  fields.service = ServiceId(request_.pool);
  fields.engine = EngineId(plan_.backend.id);
  fields.elapsed = now - request_.arrivedAt;
  fields.sends = sends_;
  fields.attempts = trail_.text();
  fields.fingerprint = suspects_.request;
  fields.parts = suspects_.parts;
  fields.leftOut = *leftOut;
  fields.tableAge = now - services_.table.view().confirmedAt;
  if (firstEventAt_) {
    fields.firstEvent = *firstEventAt_ - request_.arrivedAt;
    fields.longestPause = longestPause_;
  }
  if (late) {
    fields.lateCause = toString(*late);
  }
  logEvent(level, late ? "request: delivered late" : phraseOf(outcome), fields);
}

void RequestRun::reportOldWeights() {
  const uint64_t due = services_.wanted.dueVersion(request_.model, services_.clock.now());
  if (answeredWeights_ == 0 || answeredWeights_ >= due) {
    return;
  }
  services_.metrics.countOldWeights();
  logLine(RequestOutcome::kOldWeights, LogLevel::kWarning);
}

void RequestRun::giveUp() {
  if (headSent_) {
    caller_.breakOff();
    logEnd(RequestOutcome::kBrokenOff);
    return;
  }
  if (bufferedAnswer_) {  // Deliver the back end's own error answer if no attempt did better.
    deliverBuffered();
    if (callerGone_) {
      endWithoutCaller();
    } else {
      logEnd(RequestOutcome::kEngineFailed);
    }
    return;
  }
  if (peerRefusal_ && !mayHaveRun_) {
    bufferedAnswer_ = std::move(peerRefusal_);
    deliverBuffered();
    logEnd(RequestOutcome::kNoBackend);
    return;
  }
  if (unpermittedFor_ && !mayHaveRun_) {
    rejectWithoutPermit(*unpermittedFor_);
    return;
  }
  const Duration timeLeft = request_.deadline - services_.clock.now();
  GivenUp state;
  state.mayHaveRun = mayHaveRun_;
  state.isLate = timeLeft <= kMinTimeToSend;
  state.timeLeft = timeLeft;
  if (waitRefusal_) {
    state.returnAfter = waitRefusal_->returnAfter;
  }
  refuse(givenUpError(state));
  logEnd(mayHaveRun_ ? RequestOutcome::kNoWholeAnswer : RequestOutcome::kNoBackend);
}

bool RequestRun::isCallerGivenUp() {
  const CallerBuffer* buffer = caller_.buffer();
  return buffer != nullptr && buffer->isGivenUp();
}

AttemptEnd RequestRun::endByCaller() {
  return isCallerGivenUp() ? AttemptEnd::kNotRead : AttemptEnd::kCallerLeft;
}

void RequestRun::endWithoutCaller() {
  const bool isGivenUp = isCallerGivenUp();
  caller_.breakOff();
  if (isGivenUp) {
    services_.metrics.countSlowCaller();
  }
  logEnd(isGivenUp ? RequestOutcome::kNotRead : RequestOutcome::kCallerLeft);
}

void RequestRun::refuse(const Error& error) {
  if (countsAgainstLimit_ && error.runState == RunState::kNotRun) {
    services_.limits.giveBack(*request_.tenant, limitCostOf(request_));
  }
  metrics_.countRefusal(error.kind);
  caller_.refuse(error);
}

void RequestRun::rejectUnverifiedKey() {
  refuse(unverifiedKeyError(mayHaveRun_, request_.cameFromPeer));
  logEnd(RequestOutcome::kUnverifiedKey);
}

}  // namespace fernmoor::gateway
