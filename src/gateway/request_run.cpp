#include "gateway/request_run.h"

#include <algorithm>

#include "common/log.h"
#include "common/rendezvous.h"
#include "gateway/answer_headers.h"
#include "gateway/serving_versions.h"

namespace fernmoor::gateway {

namespace {

constexpr int kStatusOk = 200;
constexpr int kFirstServerError = 500;
/// Answers up to this size are held back until they are whole, so that a broken one can be asked
/// for again and never reaches the caller.
constexpr size_t kHeldAnswerBytes = 256U << 10U;
/// Silence after which a request that may run again is sent elsewhere.
constexpr Duration kSilenceBeforeSecondSend{1500000};
/// With less time left than this a request is not sent any more.
constexpr Duration kLeastUsefulTime{5000};
constexpr Duration kRetryAfterBusy{250000};
constexpr Duration kRetryAfterStale{500000};
/// Grace after the deadline in which the back end's own last word may still come.
constexpr Duration kLastWordGrace{60000};
/// A back end that could not be reached is left alone for so long.
constexpr Duration kUnreachablePause{1000000};

/// How long a part counts as kept by the store after it was sent there.
constexpr Duration kStoredMemory{20000000};
/// How long an engine counts as holding a part that it has read.
constexpr Duration kReadMemory{10000000};

bool isEventStream(const Poco::Net::HTTPResponse& head) {
  return head.get("Content-Type", "").rfind("text/event-stream", 0) == 0;
}

}  // namespace

RequestRun::RequestRun(Forwarder& forwarder, const IncomingRequest& request, CallerChannel& caller)
    : forwarder_(forwarder),
      services_(forwarder.services_),
      request_(request),
      caller_(caller),
      lastEventId_(request.resumeAfter) {}

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

Time RequestRun::stepDeadline() const {
  const Time end = request_.deadline + kLastWordGrace;
  const bool canMove = request_.isRepeatable() && runs_ < request_.row->maxAttempts;
  return canMove ? std::min(end, services_.clock.now() + kSilenceBeforeSecondSend) : end;
}

void RequestRun::noteEnd(BackendVerdict verdict) {
  if (!atBackend_) {
    return;
  }
  notePromptRead();
  services_.backends.ended(plan_.backend.id, verdict, services_.clock.now());
  atBackend_ = false;
}

void RequestRun::notePromptRead() {
  if (promptCounted_) {
    services_.backends.promptRead(plan_.backend.id, request_.promptTokens);
    promptCounted_ = false;
  }
}

void RequestRun::logEnd(const char* outcome) const {
  if (!logEnabled(LogLevel::kDebug)) {
    return;
  }
  LogFields fields;
  fields.request = RequestId(request_.id);
  fields.service = ServiceId(request_.pool);
  fields.engine = EngineId(plan_.backend.id);
  fields.elapsed = services_.clock.now() - request_.arrivedAt;
  fields.sends = sends_;
  if (firstEventAt_) {
    fields.firstEvent = *firstEventAt_ - request_.arrivedAt;
    fields.longestPause = longestPause_;
  }
  logDebug(outcome, fields);
}

std::optional<BackendChoice> RequestRun::choose(Time now) {
  std::vector<BackendView> members =
      services_.backends.membersOf(request_.pool, request_.model, now);
  leaveOutOldWeights(members, ServingVersions{services_.wanted.lowestServing(request_.model, now),
                                              services_.wanted.uncertainVersion(request_.model)});
  const ChoiceContext context{forwarder_.options_.zone, tried_};
  const std::lock_guard<std::mutex> lock(forwarder_.randomMutex_);
  std::vector<BackendView> share = membersOfShare(members, share_);
  share.erase(std::remove_if(share.begin(), share.end(),
                             [](const BackendView& each) { return each.isAvoided; }),
              share.end());
  const std::optional<BackendChoice> choice =
      chooseBackend(request_, share, context, forwarder_.random_);
  return choice ? choice : chooseBackend(request_, members, context, forwarder_.random_);
}

size_t RequestRun::sharedParts() const {
  return request_.parts.empty() ? 0 : request_.parts.size() - 1;
}

std::vector<PartKey> RequestRun::sharedKeys(const std::string& scope) const {
  std::vector<PartKey> keys;
  for (size_t index = 0; index < sharedParts(); ++index) {
    keys.push_back(partKeyOf(scope, request_.parts[index].id));
  }
  return keys;
}

/// Parts come from the engine that read the longest of them last, or from the store. Saving sends
/// all that is read, the request's own part included, so only requests with a part that the store
/// does not hold ask for it.
void RequestRun::planCache(SendPlan& plan, Time now) {
  if (sharedParts() == 0) {
    return;
  }
  const std::vector<PartHint> hints = services_.parts.find(sharedKeys(plan.cacheScope));
  const bool hasStore = !request_.table->cacheStores.empty();
  const uint64_t chosen = stableHash(plan.backend.id);
  bool allStored = hasStore;
  for (const PartHint& hint : hints) {
    allStored = allStored && hint.isStored && now - hint.storedAt <= kStoredMemory;
  }
  if (hasStore) {
    const SocketAddress store = request_.table->cacheStores.front().address;
    plan.fetchFrom = store;
    if (!allStored) {
      plan.saveTo = store;
    }
  }
  const PartHint& longest = hints.back();
  if (longest.engine != 0 && longest.engine != chosen && now - longest.readAt <= kReadMemory) {
    if (const std::optional<SocketAddress> source =
            sourceEngine(longest.engine, plan.weightsVersion)) {
      plan.fetchFrom = source;
    }
  }
}

/// @return the address of the engine with that hash of its id, if it still holds those weights.
std::optional<SocketAddress> RequestRun::sourceEngine(uint64_t engine, uint64_t version) const {
  const std::vector<BackendView> members =
      services_.backends.membersOf(request_.pool, request_.model, services_.clock.now());
  for (const BackendView& member : members) {
    if (stableHash(member.listing.id) == engine && member.weightsVersion == version &&
        !member.isAvoided) {
      return member.listing.address;
    }
  }
  return std::nullopt;
}

void RequestRun::notePartsRead() {
  if (plan_.cacheScope.empty() || sharedParts() == 0) {
    return;
  }
  services_.parts.note(sharedKeys(plan_.cacheScope), stableHash(plan_.backend.id),
                       plan_.saveTo.has_value());
}

std::optional<SendPlan> RequestRun::plan() {
  const Time now = services_.clock.now();
  const std::optional<BackendChoice> choice = choose(now);
  if (!choice) {
    return std::nullopt;
  }
  SendPlan plan;
  plan.backend = choice->backend.listing;
  plan.weightsVersion = choice->backend.weightsVersion;
  plan.resumeAfter = lastEventId_;
  plan.timeLeft = request_.deadline - now;
  const int tenantPriority = request_.tenant ? request_.tenant->priority : 0;
  plan.urgency = std::clamp(tenantPriority * 3 + request_.row->priority, 0, 9);
  if (plan.weightsVersion != 0 && request_.row->usesPrefixes) {
    plan.cacheScope = cacheScopeOf(request_, plan.weightsVersion);
    planCache(plan, now);
  }
  return plan;
}

RequestRun::Next RequestRun::afterStep(AttemptStep step) {
  switch (step) {
    case AttemptStep::kCallerGone:
      callerGone_ = true;
      noteEnd(BackendVerdict::kNeutral);
      return Next::kFinished;
    case AttemptStep::kNotSent:
      services_.backends.avoidUntil(plan_.backend.id, services_.clock.now() + kUnreachablePause);
      noteEnd(BackendVerdict::kFailed);
      return Next::kElsewhere;
    case AttemptStep::kBroken:
    case AttemptStep::kSilent:
      noteEnd(BackendVerdict::kFailed);
      mayHaveRun_ = true;
      ++runs_;
      return mayRunElsewhere() ? Next::kElsewhere : Next::kGiveUp;
    case AttemptStep::kDone:
      break;
  }
  return Next::kFinished;
}

RequestRun::Next RequestRun::tryOnce() {
  const Time now = services_.clock.now();
  const std::optional<SendPlan> planned = plan();
  if (!planned || planned->timeLeft < kLeastUsefulTime || !maySendAgain()) {
    return Next::kGiveUp;
  }
  plan_ = *planned;
  tried_.insert(plan_.backend.id);
  if (sends_ == 0) {
    services_.budget.countRequest(request_.pool, now);
  } else {
    ++forwarder_.counters_.secondSends;
  }
  services_.backends.started(plan_.backend.id, request_.promptTokens);
  atBackend_ = true;
  promptCounted_ = true;
  EngineAttempt attempt(request_, plan_, services_.protocol, services_.connections,
                        services_.clock);
  AttemptStep step = attempt.send(caller_, stepDeadline());
  if (step != AttemptStep::kNotSent) {
    ++sends_;
  }
  if (step == AttemptStep::kDone) {
    step = attempt.awaitHead(caller_, stepDeadline());
  }
  return step == AttemptStep::kDone ? takeAnswer(attempt) : afterStep(step);
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

RequestRun::Next RequestRun::takeAnswer(EngineAttempt& attempt) {
  const AnswerFacts& facts = attempt.facts();
  noteWeights(facts);
  if (facts.didNotRun) {
    noteEnd(BackendVerdict::kNeutral);
    std::string rest;
    attempt.readBody(caller_, services_.clock.now(), rest);
    attempt.keepConnection();
    return Next::kElsewhere;
  }
  const int status = static_cast<int>(attempt.head().getStatus());
  const bool stream = status == kStatusOk && isEventStream(attempt.head());
  return stream ? relayStream(attempt) : relayWhole(attempt);
}

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
    if (body.size() > kHeldAnswerBytes) {
      return passOnLarge(attempt, std::move(body));
    }
  }
  attempt.keepConnection();
  const int status = static_cast<int>(attempt.head().getStatus());
  const bool failed = status >= kFirstServerError;
  noteEnd(failed ? BackendVerdict::kFailed : BackendVerdict::kServed);
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
      noteEnd(BackendVerdict::kFailed);
      return Next::kGiveUp;
    }
    sent = body.empty() || caller_.sendBody(body);
  }
  noteEnd(BackendVerdict::kServed);
  callerGone_ = !sent || !caller_.finish();
  attempt.keepConnection();
  return Next::kFinished;
}

bool RequestRun::sendStreamHead(EngineAttempt& attempt) {
  if (headSent_) {
    ++forwarder_.counters_.resumed;
    return true;
  }
  headSent_ = true;
  return caller_.sendHead(answerHeadOf(attempt.head(), request_.method));
}

void RequestRun::noteEvents(Time now) {
  if (firstEventAt_) {
    longestPause_ = std::max(longestPause_, now - lastEventAt_);
  } else {
    firstEventAt_ = now;
    notePartsRead();
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

RequestRun::Next RequestRun::relayStream(EngineAttempt& attempt) {
  EventSplitter events;
  std::string bytes;
  while (!attempt.bodyComplete()) {
    const AttemptStep step = attempt.readBody(caller_, stepDeadline(), bytes);
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
  }
  if (events.hasPartialEvent()) {
    return afterStep(AttemptStep::kBroken);
  }
  noteEnd(BackendVerdict::kServed);
  attempt.keepConnection();
  callerGone_ = !sendStreamHead(attempt) || !caller_.finish();
  return Next::kFinished;
}

void RequestRun::giveUp() {
  if (headSent_) {
    ++forwarder_.counters_.brokenOff;
    caller_.breakOff();
    logEnd("broken off: its engine failed and it may not go on elsewhere");
    return;
  }
  if (held_) {  // The back end's own failure is the answer if nobody did better.
    deliverHeld();
    logEnd("delivered the failure of its engine");
    return;
  }
  ++forwarder_.counters_.refused;
  const bool late = services_.clock.now() + kLeastUsefulTime >= request_.deadline;
  Error error;
  if (mayHaveRun_) {
    error.kind = late ? ErrorKind::kTimeout : ErrorKind::kOutcomeUnknown;
    error.message = "no whole answer came from the back end; ask for the outcome before retrying.";
    error.runState = RunState::kUnknown;
  } else {
    error.kind = ErrorKind::kOverloaded;
    error.message = "no back end could take the request; come back after the time given.";
    error.retryAfter = kRetryAfterBusy;
  }
  caller_.refuse(error);
  logEnd(mayHaveRun_ ? "failed: no whole answer from its engine" : "refused: no engine took it");
}

void RequestRun::run() {
  ++forwarder_.counters_.requests;
  share_ = forwarder_.division_.note(request_, services_.clock.now());
  Next next = Next::kElsewhere;
  while (next == Next::kElsewhere) {
    const TableView view = services_.table.view();
    const bool keyed = request_.tenant.has_value();
    if (keyed && !headSent_ &&
        !view.isFresh(services_.clock.now(), forwarder_.options_.keyFreshness)) {
      Error error{ErrorKind::kUnavailable,
                  "this node cannot prove that the key is still valid; come back after the time "
                  "given.",
                  mayHaveRun_ ? RunState::kUnknown : RunState::kNotRun, kRetryAfterStale};
      if (mayHaveRun_) {
        error.kind = ErrorKind::kOutcomeUnknown;
      }
      ++forwarder_.counters_.refused;
      caller_.refuse(error);
      return;
    }
    if (keyed && view.table->findTenant(request_.key) == nullptr) {
      next = Next::kGiveUp;
      break;
    }
    next = tryOnce();
  }
  noteEnd(BackendVerdict::kNeutral);
  if (next == Next::kGiveUp) {
    giveUp();
  } else if (callerGone_) {
    ++forwarder_.counters_.callersGone;
    caller_.breakOff();
    logEnd("the caller left");
  } else {
    ++forwarder_.counters_.delivered;
    logEnd("delivered");
  }
}

}  // namespace fernmoor::gateway
