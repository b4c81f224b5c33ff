#include "gateway/request_run.h"

#include <algorithm>

#include "common/log.h"
#include "gateway/request_fingerprint.h"
#include "gateway/send_decisions.h"

namespace fernmoor::gateway {

namespace {

constexpr int kStatusOk = 200;
/// With less time left than this a request is not sent any more.
constexpr Duration kLeastUsefulTime{5000};
/// A back end that could not be reached is left alone for so long.
constexpr Duration kUnreachablePause{1000000};
/// A back end that said nothing for less than this when its caller left is taken for a live one:
/// half of the silence after which one is left at the earliest. Each that is not costs a few looks.
constexpr Duration kLeastSilence{300000};
/// What is read may have been sent so much earlier: a way between regions, 20 ms, and the wait for
/// a thread on a busy machine.
constexpr Duration kMayHaveWaited{200000};

bool wasNotSent(AttemptStep step) {
  return step == AttemptStep::kNotSent || step == AttemptStep::kTooLate ||
         step == AttemptStep::kUnwanted;
}

bool isEventStream(const Poco::Net::HTTPResponse& head) {
  return head.get("Content-Type", "").rfind("text/event-stream", 0) == 0;
}

}  // namespace

RequestRun::RequestRun(Forwarder& forwarder, const IncomingRequest& request, CallerChannel& caller)
    : forwarder_(forwarder),
      services_(forwarder.services_),
      request_(request),
      caller_(caller),
      metrics_(services_.metrics.of(ServiceId(request.pool),
                                    TenantId(request.tenant ? request.tenant->name : ""))),
      beginDeadline_(services_.wanted, request.id),
      fingerprint_(fingerprintOf(request)),
      lastEventId_(request.resumeAfter),
      heldBytes_(services_.heldBytes) {}

bool RequestRun::mayRunElsewhere() const {
  if (!mayHaveRun_) {
    return true;
  }
  return request_.isRepeatable() && runs_ < request_.row->maxAttempts;
}

bool RequestRun::maySendAgain() {
  if (secondSendPaid_) {
    secondSendPaid_ = false;
    return true;
  }
  return sends_ == 0 || services_.budget.trySecondSend(request_.pool, services_.clock.now());
}

bool RequestRun::mayLeaveEngine() const {
  const bool mayRunOnceMore = runs_ + 1 < request_.row->maxAttempts;  // After this run.
  return request_.isRepeatable() && mayRunOnceMore && !isPatient_;
}

Time RequestRun::stepDeadline() const {
  const Time end = request_.deadline + kLastWordGrace;
  const Duration patience =
      patienceWith(request_, firstEventAt_ ? std::nullopt : expectedFirstEvent_,
                   forwarder_.options_.silenceBeforeSecondSend);
  const Time leaveAt = services_.clock.now() + patience;
  return mayLeaveEngine() ? std::min(end, leaveAt) : end;
}

/// A silent engine is left only where another send is paid for; else it may still answer, and its
/// answer is the only one that can come.
bool RequestRun::staysWithSilentEngine() {
  const Time now = services_.clock.now();
  if (!mayLeaveEngine() || now >= request_.deadline) {
    return false;
  }
  secondSendPaid_ = services_.budget.trySecondSend(request_.pool, now);
  isPatient_ = !secondSendPaid_;
  return isPatient_;
}

Time RequestRun::nextLook(Time leaveAt) const {
  const Time look = std::min(leaveAt, services_.clock.now() + kLongestWaitPiece);
  return std::min(look, beginDeadline_.takeBackAt().value_or(look));
}

AttemptStep RequestRun::awaitHead(EngineAttempt& attempt) {
  Time leaveAt = stepDeadline();
  while (true) {
    const AttemptStep step = attempt.awaitHead(caller_, nextLook(leaveAt));
    const Time now = services_.clock.now();
    if (step != AttemptStep::kSilent || beginDeadline_.isOver(now)) {
      return step;
    }
    if (now < leaveAt) {
      continue;
    }
    if (!staysWithSilentEngine()) {
      return step;
    }
    leaveAt = stepDeadline();
  }
}

AttemptStep RequestRun::readStream(EngineAttempt& attempt, std::string& bytes) {
  const Time leaveAt = stepDeadline();
  const AttemptStep step = attempt.readBody(caller_, nextLook(leaveAt), bytes);
  const Time now = services_.clock.now();
  if (step != AttemptStep::kSilent || beginDeadline_.isOver(now)) {
    return step;
  }
  if (now < leaveAt) {
    return AttemptStep::kDone;  // It only was time to look.
  }
  return staysWithSilentEngine() ? attempt.readBody(caller_, stepDeadline(), bytes) : step;
}

void RequestRun::noteEnd(BackendVerdict verdict, AttemptEnd end) {
  if (!atBackend_) {
    return;
  }
  const Time now = services_.clock.now();
  uncountPrompt();
  releaseTicket();
  services_.backends.ended(plan_.backend.id, verdict, now);
  if (end == AttemptEnd::kServed || end == AttemptEnd::kFailed) {
    services_.quarantine.noteServed(fingerprint_);  // Its back end outlived it.
    noteBackendAlive();
  }
  trail_.end(end, now - request_.arrivedAt);
  atBackend_ = false;
}

bool RequestRun::uncountPrompt() {
  if (!promptCounted_) {
    return false;
  }
  services_.backends.promptRead(plan_.backend.id, request_.promptTokens);
  promptCounted_ = false;
  return true;
}

void RequestRun::notePromptRead() {
  if (uncountPrompt() && ticket_) {
    forwarder_.planner_.promptRead(*ticket_);
  }
}

bool RequestRun::isLate(Time now) const {
  return firstEventAt_.value_or(now) - request_.arrivedAt > request_.row->target;
}

/// Requests that went well are told at debug only; of the others one line each, within a budget.
void RequestRun::logEnd(RequestOutcome outcome) {
  const bool wentWell = outcome == RequestOutcome::kDelivered && !isLate(services_.clock.now());
  logLine(outcome, wentWell ? LogLevel::kDebug : LogLevel::kInfo);
}

/// @param level debug for requests that went well.
void RequestRun::logLine(RequestOutcome outcome, LogLevel level) {
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
  fields.fingerprint = fingerprint_;
  fields.leftOut = *leftOut;
  fields.tableAge = now - services_.table.view().confirmedAt;
  if (firstEventAt_) {
    fields.firstEvent = *firstEventAt_ - request_.arrivedAt;
    fields.longestPause = longestPause_;
  }
  const bool isLateAnswer = outcome == RequestOutcome::kDelivered && !wentWell;
  logEvent(level, isLateAnswer ? "request: delivered late" : phraseOf(outcome), fields);
}

quarantine::CrashedRun RequestRun::runUntilNow() const {
  return quarantine::CrashedRun{incarnationHash(plan_.backend), sentAt_, services_.clock.now(),
                                plan_.backend.startedAt != 0};
}

void RequestRun::noteCutOff() {
  services_.cutOffRuns.note(fingerprint_, plan_.backend, runUntilNow());
}

void RequestRun::noteBackendAlive() {
  const Time sentByThen = std::max(sentAt_, services_.clock.now() - kMayHaveWaited);
  services_.cutOffRuns.noteAlive(incarnationHash(plan_.backend), sentByThen);
}

/// A port that is closed when an answer breaks off tells a crash of the back end from a broken
/// connection: seconds later another process may listen there. One that is open tells nothing yet.
AttemptEnd RequestRun::howItBroke() {
  const BackendListing& backend = plan_.backend;
  const quarantine::CrashedRun run = runUntilNow();
  if (services_.connections.stillAnswers(run.incarnation, backend.address, run.endedAt)) {
    services_.cutOffRuns.note(fingerprint_, backend, run);
    return AttemptEnd::kBroken;
  }
  // A back end that was about to leave ends with what still runs there.
  if (services_.backends.isUsable(backend.id)) {
    services_.quarantine.noteCrash(fingerprint_, run);
  }
  return AttemptEnd::kCrashed;
}

bool RequestRun::isQuarantined() {
  services_.quarantine.awaitDecision(fingerprint_);
  const std::optional<Duration> left = services_.quarantine.timeLeft(fingerprint_);
  if (left && !mayHaveRun_) {
    refuse(quarantinedError(*left));
    logEnd(RequestOutcome::kQuarantined);
  }
  return left.has_value();
}

RequestRun::Next RequestRun::afterStep(AttemptStep step) {
  switch (step) {
    case AttemptStep::kCallerGone:
      callerGone_ = true;
      if (services_.clock.now() - std::max(sentAt_, lastEventAt_) >= kLeastSilence) {
        noteCutOff();
      }
      noteEnd(BackendVerdict::kNeutral, AttemptEnd::kCallerLeft);
      return Next::kFinished;
    case AttemptStep::kNotSent:
      services_.backends.avoidUntil(plan_.backend.id, services_.clock.now() + kUnreachablePause);
      noteEnd(BackendVerdict::kFailed, AttemptEnd::kNotReached);
      return Next::kElsewhere;
    case AttemptStep::kTooLate:
      noteEnd(BackendVerdict::kNeutral, AttemptEnd::kTooLate);
      return Next::kElsewhere;
    case AttemptStep::kUnwanted:
      noteEnd(BackendVerdict::kNeutral, AttemptEnd::kUnwanted);
      return Next::kElsewhere;
    case AttemptStep::kBroken:
      noteEnd(BackendVerdict::kFailed, howItBroke());
      return afterUnknownRun();
    case AttemptStep::kSilent:
      noteCutOff();
      if (beginDeadline_.isOver(services_.clock.now())) {
        services_.metrics.countTakenBack();
        noteEnd(BackendVerdict::kNeutral, AttemptEnd::kTakenBack);
      } else {
        noteEnd(BackendVerdict::kFailed, AttemptEnd::kSilent);
      }
      return afterUnknownRun();
    case AttemptStep::kDone:
      break;
  }
  return Next::kFinished;
}

RequestRun::Next RequestRun::afterUnknownRun() {
  mayHaveRun_ = true;
  ++runs_;
  return mayRunElsewhere() ? Next::kElsewhere : Next::kGiveUp;
}

RequestRun::Next RequestRun::tryOnce() {
  const std::optional<PlannedSend> planned =
      forwarder_.planner_.plan(PlanInput{request_, tried_, lastEventId_, sends_ == 0});
  if (planned) {
    ticket_ = planned->ticket;
  }
  if (planned && planned->unpermittedFor) {
    unpermittedFor_ = planned->unpermittedFor;
    trail_.noteUnpermitted(*unpermittedFor_);
    return Next::kGiveUp;
  }
  if (planned && planned->isTooLate) {
    hopelessWait_ = planned->expected->firstEvent;
    giveBackTicket();
    return Next::kGiveUp;
  }
  const Duration timeLeft = request_.deadline - services_.clock.now();
  if (!planned || timeLeft < kLeastUsefulTime + planned->permitWait) {
    giveBackTicket();
    return Next::kGiveUp;
  }
  if (!awaitPermit(*planned)) {
    giveBackTicket();
    return callerGone_ ? Next::kFinished : Next::kElsewhere;
  }
  if (!maySendAgain()) {
    giveBackTicket();
    return Next::kGiveUp;
  }
  plan_ = planned->send;
  expectedFirstEvent_ =
      planned->expected ? std::optional<Duration>(planned->expected->firstEvent) : std::nullopt;
  noteStart(*planned);
  EngineAttempt attempt(request_, plan_, services_.protocol, services_.connections,
                        services_.clock);
  const Time sendBy = stepDeadline();
  const Time sentBy = std::min(sendBy, beginDeadline_.takeBackAt().value_or(sendBy));
  AttemptStep step = attempt.open(sentBy);
  // Opening a connection takes its time.
  if (step == AttemptStep::kDone &&
      !services_.backends.takesRequests(plan_.backend, services_.clock.now())) {
    step = AttemptStep::kUnwanted;
  }
  if (step == AttemptStep::kDone) {
    step = attempt.send(caller_, sentBy);
  }
  if (wasNotSent(step)) {
    giveBackTicket();
  } else {
    ++sends_;
    notePermitUsed();
  }
  if (step == AttemptStep::kDone) {
    step = awaitHead(attempt);
  }
  return step == AttemptStep::kDone ? takeAnswer(attempt) : afterStep(step);
}

void RequestRun::noteStart(const PlannedSend& planned) {
  const Time now = services_.clock.now();
  tried_.insert(plan_.backend.id);
  if (sends_ == 0) {
    services_.budget.countRequest(request_.pool, now);
  } else {
    metrics_.countRetry();
  }
  beginDeadline_.start(request_.model, plan_.weightsVersion, request_.row->isStream);
  services_.backends.started(plan_.backend.id, request_.promptTokens);
  atBackend_ = true;
  promptCounted_ = true;
  isPatient_ = false;
  sentAt_ = now;
  TrailEntry entry;
  entry.backend = plan_.backend.id;
  entry.inFlight = planned.inFlight;
  entry.pendingTokens = planned.pendingTokens;
  entry.weights = plan_.weightsVersion;
  entry.lowestWeights = planned.lowestWeights;
  entry.expectedFirstEvent = expectedFirstEvent_;
  entry.permitWait = planned.permitWait;
  if (const auto end = services_.wanted.boundEnd(request_.model, plan_.weightsVersion)) {
    entry.boundLeft = *end - now;
  }
  entry.sentAfter = now - request_.arrivedAt;
  trail_.begin(std::move(entry));
}

void RequestRun::noteWeights(const AnswerFacts& facts) {
  if (facts.weightsVersion == 0 || request_.model.empty()) {
    return;
  }
  if (facts.isWrongLife) {
    services_.backends.correctWeights(plan_.backend.id, request_.model, facts.weightsVersion);
  } else {
    services_.backends.noteWeights(plan_.backend.id, request_.model, facts.weightsVersion);
  }
}

void RequestRun::reportOldWeights() {
  const uint64_t due = services_.wanted.dueVersion(request_.model, services_.clock.now());
  if (answeredWeights_ == 0 || answeredWeights_ >= due) {
    return;
  }
  services_.metrics.countOldWeights();
  logLine(RequestOutcome::kOldWeights, LogLevel::kWarning);
}

RequestRun::Next RequestRun::takeAnswer(EngineAttempt& attempt) {
  const AnswerFacts& facts = attempt.facts();
  noteWeights(facts);
  noteStatement(facts);
  answeredWeights_ = facts.weightsVersion;
  if (facts.didNotRun) {
    trail_.noteStatus(static_cast<int>(attempt.head().getStatus()));
    noteEnd(BackendVerdict::kNeutral, AttemptEnd::kTurnedAway);
    std::string rest;
    attempt.readBody(caller_, services_.clock.now(), rest);
    attempt.keepConnection();
    return Next::kElsewhere;
  }
  const int status = static_cast<int>(attempt.head().getStatus());
  if (status == kStatusOk && isEventStream(attempt.head())) {
    return relayStream(attempt);
  }
  reportOldWeights();  // Of a whole answer its head is the first sign that it began.
  return relayWhole(attempt);
}

void RequestRun::giveUp() {
  if (headSent_) {
    caller_.breakOff();
    logEnd(RequestOutcome::kBrokenOff);
    return;
  }
  if (held_) {  // The back end's own failure is the answer if nobody did better.
    deliverHeld();
    logEnd(RequestOutcome::kEngineFailed);
    return;
  }
  if (unpermittedFor_ && !mayHaveRun_) {
    refuseUnpermitted(*unpermittedFor_);
    return;
  }
  const bool isLate = services_.clock.now() + kLeastUsefulTime >= request_.deadline;
  refuse(givenUpError(GivenUp{mayHaveRun_, isLate, hopelessWait_}));
  logEnd(mayHaveRun_ ? RequestOutcome::kNoWholeAnswer : RequestOutcome::kNoBackend);
}

bool RequestRun::passesLimit() {
  if (!request_.tenant) {
    return true;
  }
  const Result<Done> passed = services_.limits.acquire(*request_.tenant, limitCostOf(request_));
  if (!isOk(passed)) {
    refuse(errorOf(passed));
    logEnd(RequestOutcome::kOverLimit);
    return false;
  }
  isCounted_ = true;
  return true;
}

void RequestRun::refuse(const Error& error) {
  if (isCounted_ && error.runState == RunState::kNotRun) {
    services_.limits.giveBack(*request_.tenant, limitCostOf(request_));
  }
  metrics_.countRefusal(error.kind);
  caller_.refuse(error);
}

void RequestRun::refuseUnproven() {
  refuse(unprovenKeyError(mayHaveRun_));
  logEnd(RequestOutcome::kUnprovenKey);
}

bool RequestRun::isKeyProven() const {
  return services_.table.view().isFresh(services_.clock.now(), forwarder_.options_.keyFreshness);
}

void RequestRun::run() {
  metrics_.countRequest();
  if (isQuarantined() || !passesLimit()) {
    return;
  }
  Next next = Next::kElsewhere;
  while (next == Next::kElsewhere) {
    if (request_.tenant && !headSent_ && !isKeyProven()) {
      refuseUnproven();
      return;
    }
    if (request_.tenant && services_.table.view().table->findTenant(request_.key) == nullptr) {
      next = Next::kGiveUp;
      break;
    }
    if (sends_ > 0 && isQuarantined()) {
      if (!mayHaveRun_) {
        return;
      }
      next = Next::kGiveUp;
      break;
    }
    next = tryOnce();
  }
  noteEnd(BackendVerdict::kNeutral, AttemptEnd::kBroken);
  if (next == Next::kGiveUp) {
    giveUp();
  } else if (callerGone_) {
    caller_.breakOff();
    logEnd(RequestOutcome::kCallerLeft);
  } else {
    logEnd(RequestOutcome::kDelivered);
  }
}

}  // namespace fernmoor::gateway
