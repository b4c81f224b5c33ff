#include "gateway/request_run.h"

#include <algorithm>

#include "common/log.h"
#include "gateway/backend_choice.h"
#include "gateway/request_fingerprint.h"
#include "gateway/send_decisions.h"

namespace fernmoor::gateway {

namespace {

constexpr int kStatusOk = 200;
/// If the caller disconnects, a back end that was silent for less than this (300 ms) is assumed to
/// be alive. It is half of the shortest silence after which a request leaves its back end. Each run
/// that is kept beyond it costs a few probes.
constexpr Duration kMinSilenceToKeepRun{300000};

bool wasNotSent(AttemptStep step) {
  return step == AttemptStep::kNotSent || step == AttemptStep::kTooLate ||
         step == AttemptStep::kUnwanted || step == AttemptStep::kUnsendable;
}

bool isEventStream(const Poco::Net::HTTPResponse& head) {
  return head.get("Content-Type", "").rfind("text/event-stream", 0) == 0;
}

}  // namespace

RequestRun::RequestRun(Forwarder& forwarder, IncomingRequest& request, CallerChannel& caller)
    : forwarder_(forwarder),
      services_(forwarder.services_),
      request_(request),
      caller_(caller),
      metrics_(services_.metrics.of(ServiceId(request.pool),
                                    TenantId(request.tenant ? request.tenant->name : ""))),
      beginDeadline_(services_.wanted, request.id),
      suspects_(suspectsOf(request)),
      runs_(request.earlierRuns),
      isCounted_(request.cameFromPeer),
      lastEventId_(request.resumeAfter),
      heldBytes_(services_.heldBytes) {
  if (!request_.resumeAfter.empty()) {
    trail_.noteTakeUp(request_.resumedStream, request_.resumeAfter);
  }
  if (CallerBuffer* buffer = caller_.buffer()) {
    buffer->setDeadline(request_.deadline + kAnswerGrace);
  }
}

bool RequestRun::mayRunElsewhere() const {
  if (!mayHaveRun_) {
    return true;
  }
  return request_.isRepeatable() && runs_ < request_.row->maxAttempts;
}

bool RequestRun::maySendAgain() {
  if (retryCharged_) {
    retryCharged_ = false;
    return true;
  }
  return sends_ == 0 || services_.budget.tryRetry(request_.pool, services_.clock.now());
}

bool RequestRun::mayAbandonEngine() const {
  const bool mayRunOnceMore = runs_ + 1 < request_.row->maxAttempts;  // After this run.
  return request_.isRepeatable() && mayRunOnceMore && !staysWithEngine_;
}

Time RequestRun::stepDeadline() const {
  const Time end = request_.deadline + kAnswerGrace;
  const Duration silence =
      silenceLimit(request_, firstEventAt_ ? std::nullopt : expectedFirstEvent_,
                   forwarder_.options_.silenceBeforeSecondSend);
  const Time leaveAt = services_.clock.now() + silence;
  return mayAbandonEngine() ? std::min(end, leaveAt) : end;
}

/// Leaves a silent engine only if the retry budget allows another send. Otherwise keeps waiting:
/// the engine may still answer, and no other answer can come.
bool RequestRun::keepsWaitingForSilentEngine() {
  const Time now = services_.clock.now();
  if (!mayAbandonEngine() || now >= request_.deadline) {
    return false;
  }
  retryCharged_ = services_.budget.tryRetry(request_.pool, now);
  staysWithEngine_ = !retryCharged_;
  if (staysWithEngine_) {
    recordCutOff();  // Whether the engine has ended must not depend on the budget.
  }
  return staysWithEngine_;
}

Time RequestRun::nextCheck(Time leaveAt) const {
  const Time look = std::min(leaveAt, services_.clock.now() + kLongestWaitPiece);
  return std::min(look, beginDeadline_.withdrawAt().value_or(look));
}

AttemptStep RequestRun::awaitHead(EngineAttempt& attempt) {
  Time leaveAt = stepDeadline();
  while (true) {
    const AttemptStep step = attempt.awaitHead(caller_, nextCheck(leaveAt));
    const Time now = services_.clock.now();
    if (step != AttemptStep::kSilent || beginDeadline_.isOver(now)) {
      return step;
    }
    if (!callerMayGoOn()) {
      return AttemptStep::kCallerGone;
    }
    if (now < leaveAt) {
      continue;
    }
    if (!keepsWaitingForSilentEngine()) {
      return step;
    }
    leaveAt = stepDeadline();
  }
}

AttemptStep RequestRun::readStream(EngineAttempt& attempt, std::string& bytes) {
  const Time leaveAt = stepDeadline();
  const AttemptStep step = readBody(attempt, nextCheck(leaveAt), bytes);
  const Time now = services_.clock.now();
  if (step != AttemptStep::kSilent || beginDeadline_.isOver(now)) {
    return step;
  }
  if (now < leaveAt) {
    return AttemptStep::kDone;  // Only the periodic check was due.
  }
  return keepsWaitingForSilentEngine() ? readBody(attempt, stepDeadline(), bytes) : step;
}

void RequestRun::recordAttemptEnd(BackendVerdict verdict, AttemptEnd end) {
  if (!attemptOpen_) {
    return;
  }
  const Time now = services_.clock.now();
  uncountPrompt();
  releaseTicket();
  services_.backends.ended(plan_.backend.id, verdict, now);
  if (!currentPeer_) {
    forwarder_.planner_.noteEnded(request_);
  }
  const bool isWhole = end == AttemptEnd::kServed || end == AttemptEnd::kFailed;
  if (isWhole && !currentPeer_) {  // Another node records itself what its engines survived.
    // The back end survived the request, and with a success also what it wrote on the parts.
    services_.quarantine.noteServed(end == AttemptEnd::kServed ? suspects_
                                                               : Suspects(suspects_.request));
    recordBackendAlive();
  }
  trail_.end(end, now - request_.arrivedAt);
  attemptOpen_ = false;
}

bool RequestRun::uncountPrompt() {
  if (!promptCounted_) {
    return false;
  }
  services_.backends.promptRead(plan_.backend.id, request_.promptTokens);
  promptCounted_ = false;
  return true;
}

void RequestRun::recordPromptRead() {
  if (uncountPrompt() && ticket_) {
    forwarder_.planner_.promptRead(*ticket_);
  }
}

RequestRun::Next RequestRun::afterStep(AttemptStep step) {
  if (currentPeer_) {
    return afterPeerStep(step);
  }
  switch (step) {
    case AttemptStep::kCallerGone:
      callerGone_ = true;
      if (services_.clock.now() - std::max(sentAt_, lastEventAt_) >= kMinSilenceToKeepRun) {
        recordCutOff();
      }
      recordAttemptEnd(BackendVerdict::kNeutral, endByCaller());
      return Next::kFinished;
    case AttemptStep::kNotSent:
      recordNotReached();
      return Next::kTryAnother;
    case AttemptStep::kTooLate:
      recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kTooLate);
      return Next::kTryAnother;
    case AttemptStep::kUnwanted:
      recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kUnwanted);
      return Next::kTryAnother;
    case AttemptStep::kUnsendable:
      recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kUnsendable);
      return Next::kTryAnother;
    case AttemptStep::kBroken:
      return afterBreak();
    case AttemptStep::kSilent:
      recordCutOff();
      if (beginDeadline_.isOver(services_.clock.now())) {
        services_.metrics.countTakenBack();
        recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kWithdrawn);
      } else {
        recordAttemptEnd(BackendVerdict::kFailed, AttemptEnd::kSilent);
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
  return mayRunElsewhere() ? Next::kTryAnother : Next::kGiveUp;
}

RequestRun::Next RequestRun::tryOnce(const std::optional<PeerNode>& peer) {
  if (!mayGoOnSomewhere()) {
    return Next::kGiveUp;
  }
  return peer ? tryPeer(*peer) : tryEngine();
}

RequestRun::Next RequestRun::tryEngine() {
  if (peerRefusal_ && services_.reach.state() != ReachState::kReached) {
    return Next::kGiveUp;
  }
  currentPeer_.reset();
  // A taken-up stream is not rejected for being late: its caller would lose the events it has.
  const bool mayBeRefused = sends_ == 0 && !isBound_;
  request_.newestTable = services_.table.view().table;
  const std::optional<PlannedSend> planned = forwarder_.planner_.plan(
      PlanInput{request_, tried_, lastEventId_, boundSoftware_, mayBeRefused});
  if (planned) {
    ticket_ = planned->ticket;
  }
  if (planned && planned->unpermittedFor) {
    unpermittedFor_ = planned->unpermittedFor;
    trail_.noteUnpermitted(*unpermittedFor_);
    return Next::kGiveUp;
  }
  if (planned && planned->verdict.isRefused()) {
    waitRefusal_ = planned->verdict;
    trail_.noteRefusal(planned->verdict, planned->expected->firstEvent);
    giveBackTicket();
    return Next::kGiveUp;
  }
  const Duration timeLeft = request_.deadline - services_.clock.now();
  if (!planned || timeLeft < kMinTimeToSend + planned->permitWait) {
    giveBackTicket();
    return Next::kGiveUp;
  }
  if (!awaitPermit(*planned)) {
    giveBackTicket();
    return callerGone_ ? Next::kFinished : Next::kTryAnother;
  }
  if (!maySendAgain()) {
    giveBackTicket();
    return Next::kGiveUp;
  }
  plan_ = planned->send;
  expectedFirstEvent_ =
      planned->expected ? std::optional<Duration>(planned->expected->firstEvent) : std::nullopt;
  recordSend(*planned);
  EngineAttempt attempt(request_, plan_, services_.protocol, services_.connections,
                        services_.clock);
  const Time sendBy = stepDeadline();
  const Time sentBy = std::min(sendBy, beginDeadline_.withdrawAt().value_or(sendBy));
  AttemptStep step = attempt.open(sentBy, connectionUse());
  noteReach(attempt, step);
  // The back end may have withdrawn while the connection was opened.
  if (step == AttemptStep::kDone &&
      !services_.backends.takesRequests(plan_.backend, services_.clock.now())) {
    step = AttemptStep::kUnwanted;
  }
  if (step == AttemptStep::kDone) {
    followCacheScope();
    const Time end = request_.deadline + kAnswerGrace;
    const Duration silence =
        silenceLimit(request_, expectedFirstEvent_, forwarder_.options_.silenceBeforeSecondSend);
    step =
        attempt.send(caller_, SendLimits{std::min(end, beginDeadline_.withdrawAt().value_or(end)),
                                         silence, !mayAbandonEngine()});
  }
  if (wasNotSent(step)) {
    giveBackTicket();
  } else {
    ++sends_;
    recordPermitUse();
  }
  if (step == AttemptStep::kDone) {
    step = awaitHead(attempt);
  }
  return step == AttemptStep::kDone ? takeAnswer(attempt) : afterStep(step);
}

void RequestRun::followCacheScope() {
  request_.newestTable = services_.table.view().table;
  if (plan_.cacheScope.empty()) {
    return;
  }
  std::string scope = cacheScopeOf(request_, plan_.weightsVersion);
  if (scope != plan_.cacheScope) {
    plan_.cacheScope = std::move(scope);
    plan_.transfer = PartTransfer{};  // It was planned for parts of the other scope.
  }
}

void RequestRun::recordSend(const PlannedSend& planned) {
  const Time now = services_.clock.now();
  tried_.insert(plan_.backend.id);
  if (!isCounted_) {
    services_.budget.countRequest(request_.pool, now);
    isCounted_ = true;
  }
  if (sends_ > 0) {
    metrics_.countRetry();
  }
  beginDeadline_.start(request_.model, plan_.weightsVersion,
                       request_.row->isStream && !currentPeer_);
  services_.backends.started(plan_.backend.id, request_.promptTokens);
  tokensToRead_ = planned.prompt.toRead;
  if (!currentPeer_) {
    forwarder_.planner_.noteSent(request_, planned.prompt);
  }
  attemptOpen_ = true;
  promptCounted_ = true;
  staysWithEngine_ = false;
  isAttemptChecked_ = false;
  wasLeftUnread_ = false;
  pace_ = StreamPace{};
  sentAt_ = now;
  TrailEntry entry;
  entry.backend = plan_.backend.id;
  entry.software = plan_.backend.software.value_or("");
  entry.inFlight = planned.inFlight;
  entry.pendingTokens = planned.pendingTokens;
  entry.weights = plan_.weightsVersion;
  entry.lowestWeights = planned.lowestWeights;
  entry.expectedFirstEvent = expectedFirstEvent_;
  entry.permitWait = planned.permitWait;
  entry.isSentLate = planned.verdict.decision == WaitDecision::kSendLate;
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
  if (facts.isWrongIncarnation) {
    services_.backends.correctWeights(plan_.backend.id, request_.model, facts.weightsVersion);
  } else {
    services_.backends.noteWeights(plan_.backend.id, request_.model, facts.weightsVersion);
  }
}

RequestRun::Next RequestRun::takeAnswer(EngineAttempt& attempt) {
  if (currentPeer_) {
    return takePeerAnswer(attempt);
  }
  const AnswerFacts& facts = attempt.facts();
  services_.reach.noteHeard();
  noteWeights(facts);
  noteStatement(facts);
  answeredWeights_ = facts.weightsVersion;
  if (facts.didNotRun) {
    trail_.noteStatus(static_cast<int>(attempt.head().getStatus()));
    recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kRejected);
    std::string rest;
    attempt.readBody(caller_, services_.clock.now(), rest);
    attempt.keepConnection();
    return Next::kTryAnother;
  }
  return relayAnswer(attempt);
}

RequestRun::Next RequestRun::relayAnswer(EngineAttempt& attempt) {
  const int status = static_cast<int>(attempt.head().getStatus());
  if (status == kStatusOk && isEventStream(attempt.head())) {
    return relayStream(attempt);
  }
  reportOldWeights();  // For an answer that is no stream, the head is the first sign that it began.
  return relayBuffered(attempt);
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
  countsAgainstLimit_ = true;
  return true;
}

bool RequestRun::isKeyVerified() const {
  return !request_.tenant || headSent_ ||
         services_.table.view().isFresh(services_.clock.now(), forwarder_.options_.keyFreshness);
}

void RequestRun::run() {
  metrics_.countRequest();
  if (request_.cameFromPeer) {
    services_.metrics.countFromPeer();
  }
  if (request_.cameFromPeer && services_.reach.state() == ReachState::kPartitioned) {
    refuse(partitionedError());
    logEnd(RequestOutcome::kNoBackend);
    return;
  }
  if (isQuarantined() || !bindTakenUpStream() || !passesLimit()) {
    return;
  }
  Next next = Next::kTryAnother;
  while (next == Next::kTryAnother) {
    const std::optional<PeerNode> peer = nextPeer();
    if (!peer && !isKeyVerified()) {  // Another node verifies the key itself.
      rejectUnverifiedKey();
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
    next = tryOnce(peer);
  }
  recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kBroken);
  if (next == Next::kGiveUp) {
    giveUp();
  } else if (callerGone_) {
    endWithoutCaller();
  } else {
    logEnd(RequestOutcome::kDelivered);
  }
}

}  // namespace fernmoor::gateway
