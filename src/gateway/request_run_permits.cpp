/// @file
/// Handles the load and the stated limits of engines for one request: its load ticket, the wait for
/// a permit, the statements in answers, and the rejection if no engine accepts requests now.
#include <algorithm>

#include "common/log.h"
#include "gateway/request_run.h"
#include "gateway/send_decisions.h"

namespace fernmoor::gateway {

void RequestRun::releaseTicket() {
  if (ticket_) {
    ticket_->pace = pace_;
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
  return services_.backends.takesRequests(planned.send.backend, services_.clock.now());
}

std::optional<LimitStatement> RequestRun::statementOf(LimitMention mention, double value,
                                                      Time now) const {
  switch (mention) {
    case LimitMention::kStated:
      return LimitStatement{value, sentAt_, now};
    case LimitMention::kNone:
      return LimitStatement{std::nullopt, sentAt_, now};
    case LimitMention::kUntold:
    case LimitMention::kUnreadable:
      break;
  }
  return std::nullopt;
}

void RequestRun::noteStatement(const AnswerFacts& facts) {
  const Time now = services_.clock.now();
  EngineStatement told;
  told.engine = incarnationHash(plan_.backend);
  told.limit = statementOf(facts.limitMention, facts.limit, now);
  told.brittleness = statementOf(facts.brittlenessMention, facts.survivedRejections, now);
  if (facts.lackedRoom && ticket_) {
    ticket_->lackedRoom = true;
  }
  if (facts.leaves) {
    told.leavingSince = now;
  }
  if (facts.rest > Duration(0)) {
    told.restsUntil = now + facts.rest;
    trail_.noteRest(facts.rest);
  }
  if (!told.isEmpty()) {
    services_.loads.noteStatement(told);
  }
  if (facts.hasUnreadableWithdrawal || facts.limitMention == LimitMention::kUnreadable ||
      facts.brittlenessMention == LimitMention::kUnreadable) {
    logUnreadableStatement(facts, now);
  }
}

void RequestRun::logUnreadableStatement(const AnswerFacts& facts, Time now) {
  const std::optional<uint64_t> leftOut = forwarder_.unreadableStatementLog_.take(now);
  if (!leftOut) {
    return;
  }
  LogFields fields;
  fields.engine = EngineId(plan_.backend.id);
  fields.leftOut = *leftOut;
  logWarning(facts.hasUnreadableWithdrawal
                 ? "engine leaves or rests: what was stated can't be read and is ignored"
                 : "engine limit: what was stated is no decimal number and is ignored",
             fields);
}

void RequestRun::recordPermitUse() {
  if (ticket_ && ticket_->hasPermit) {
    services_.metrics.countPermitted();
    forwarder_.returnTimes_.notePermitted(request_.pool, services_.clock.now());
  }
}

void RequestRun::rejectWithoutPermit(Duration due) {
  const Time now = services_.clock.now();
  const Duration retryAfter =
      forwarder_.returnTimes_.next(request_.pool, due, request_.deadline - now, now);
  services_.metrics.countUnpermitted();
  refuse(unpermittedError(retryAfter));
  logEnd(RequestOutcome::kUnpermitted);
}

}  // namespace fernmoor::gateway
