/// @file
/// What a request does about the load and the limits of engines: its ticket, the wait for its
/// permit, what answers state, and its refusal where all engines are at their limits.
#include <algorithm>

#include "common/log.h"
#include "gateway/request_run.h"
#include "gateway/send_decisions.h"

namespace fernmoor::gateway {

void RequestRun::releaseTicket() {
  if (ticket_) {
    forwarder_.planner_.release(*ticket_);
    ticket_.reset();
  }
}

void RequestRun::giveBackTicket() {
  if (ticket_) {
    forwarder_.planner_.giveBack(*ticket_);
    ticket_.reset();
  }
}

bool RequestRun::awaitPermit(const PlannedSend& planned) {
  if (planned.permitWait <= Duration(0)) {
    return true;
  }
  const Time permitAt = services_.clock.now() + planned.permitWait;
  for (Time now = services_.clock.now(); now < permitAt; now = services_.clock.now()) {
    if (caller_.connection().leftWithin(std::min(permitAt - now, kLongestWaitPiece))) {
      callerGone_ = true;
      return false;
    }
  }
  return services_.backends.isUsable(planned.send.backend.id);
}

void RequestRun::noteLimit(const AnswerFacts& facts) {
  if (facts.limitMention == LimitMention::kUntold) {
    return;
  }
  const Time now = services_.clock.now();
  if (facts.limitMention != LimitMention::kUnreadable) {
    const bool isStated = facts.limitMention == LimitMention::kStated;
    services_.loads.noteLimit(
        incarnationHash(plan_.backend),
        LimitStatement{isStated ? std::optional(facts.limit) : std::nullopt, sentAt_, now});
    return;
  }
  if (const std::optional<uint64_t> leftOut = forwarder_.oddLimitLog_.take(now)) {
    LogFields fields;
    fields.engine = EngineId(plan_.backend.id);
    fields.leftOut = *leftOut;
    logWarning("engine limit: what was stated is no decimal number and is ignored", fields);
  }
}

void RequestRun::notePermitUsed() {
  if (ticket_ && ticket_->hasPermit) {
    services_.metrics.countPermitted();
    forwarder_.returnTimes_.notePermitted(request_.pool, services_.clock.now());
  }
}

void RequestRun::refuseUnpermitted(Duration due) {
  const Time now = services_.clock.now();
  const Duration comeBack =
      forwarder_.returnTimes_.next(request_.pool, due, request_.deadline - now, now);
  services_.metrics.countUnpermitted();
  refuse(unpermittedError(comeBack));
  logEnd(RequestOutcome::kUnpermitted);
}

}  // namespace fernmoor::gateway
