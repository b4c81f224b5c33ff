/// @file
/// Hands a request to another node while this one reaches no engine. The other node receives it as
/// from a caller: it checks the key, counts the tenant's limit and chooses the engine.
#include "gateway/answer_headers.h"
#include "gateway/request_run.h"
#include "gateway/send_decisions.h"

namespace fernmoor::gateway {

namespace {

constexpr int kServiceUnavailable = 503;
/// A rejection is a short JSON object; what is longer is no rejection of a node.
constexpr size_t kMaxRefusalBytes = 4096;

BackendListing listingOf(const PeerNode& peer) {
  BackendListing listing;
  listing.id = "node " + std::to_string(peer.id.value());
  listing.address = peer.callers;
  return listing;
}

}  // namespace

std::optional<PeerNode> RequestRun::nextPeer() {
  const PeerQuestion question{request_.cameFromPeer, services_.reach.state(), unreached_,
                              triedPeers_.size()};
  return goesByPeer(question) ? services_.peers.choose(triedPeers_, services_.clock.now())
                              : std::nullopt;
}

ConnectionUse RequestRun::connectionUse() const {
  ConnectionUse use;
  use.mayReuse = mayReuseConnection(request_, services_.reach.sinceProof());
  use.mayOpen = services_.reach.state() != ReachState::kNoNewConnections;
  return use;
}

void RequestRun::uncountAgainstLimit() {
  if (countsAgainstLimit_) {
    services_.limits.giveBack(*request_.tenant, limitCostOf(request_));
    countsAgainstLimit_ = false;
  }
}

RequestRun::Next RequestRun::tryPeer(const PeerNode& peer) {
  if (request_.deadline <= services_.clock.now() || !maySendAgain()) {
    return Next::kGiveUp;
  }
  triedPeers_.insert(peer.id);
  currentPeer_ = peer.id;
  uncountAgainstLimit();
  plan_ = SendPlan();
  plan_.backend = listingOf(peer);
  plan_.resumeAfter = lastEventId_;
  plan_.earlierRuns = runs_;
  plan_.boundSoftware = boundSoftware_;
  expectedFirstEvent_.reset();
  answeredWeights_ = 0;
  PlannedSend planned;
  planned.send = plan_;
  recordSend(planned);
  staysWithEngine_ = true;  // The other node leaves a silent engine; its own silence says nothing.
  services_.metrics.countHandedOn();
  EngineAttempt attempt(request_, plan_, services_.peers.protocol(), services_.peers.connections(),
                        services_.clock);
  AttemptStep step = attempt.open(request_.deadline);
  if (step == AttemptStep::kDone) {
    ++sends_;
    step = attempt.send(caller_, SendLimits{request_.deadline});
  }
  if (step == AttemptStep::kDone) {
    step = awaitHead(attempt);
  }
  return step == AttemptStep::kDone ? takePeerAnswer(attempt) : afterPeerStep(step);
}

RequestRun::Next RequestRun::takePeerAnswer(EngineAttempt& attempt) {
  const int status = static_cast<int>(attempt.head().getStatus());
  if (!attempt.facts().didNotRun) {
    return relayAnswer(attempt);
  }
  trail_.noteStatus(status);
  BufferedAnswer refusal{answerHeadOf(attempt.head(), request_.method), ""};
  std::string bytes;
  while (!attempt.bodyComplete()) {
    const AttemptStep step = attempt.readBody(caller_, request_.deadline + kAnswerGrace, bytes);
    if (step != AttemptStep::kDone) {
      return afterPeerStep(step);
    }
    refusal.body += bytes;
    if (refusal.body.size() > kMaxRefusalBytes) {
      return afterPeerStep(AttemptStep::kBroken);
    }
  }
  recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kRejected);
  refusal.head.contentLength = refusal.body.size();
  peerRefusal_ = std::move(refusal);
  // Other rejections concern the request or its service, whichever node is asked.
  if (status != kServiceUnavailable || attempt.facts().rest > kRetryAfterOtherNode) {
    return Next::kGiveUp;
  }
  services_.peers.avoid(*currentPeer_, services_.clock.now());
  return Next::kTryAnother;
}

RequestRun::Next RequestRun::afterPeerStep(AttemptStep step) {
  if (step == AttemptStep::kCallerGone) {
    callerGone_ = true;
    recordAttemptEnd(BackendVerdict::kNeutral, endByCaller());
    return Next::kFinished;
  }
  services_.peers.avoid(*currentPeer_, services_.clock.now());
  if (step == AttemptStep::kNotSent || step == AttemptStep::kTooLate ||
      step == AttemptStep::kUnsendable) {
    recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kNotReached);
    return Next::kTryAnother;
  }
  recordAttemptEnd(BackendVerdict::kNeutral,
                   step == AttemptStep::kSilent ? AttemptEnd::kSilent : AttemptEnd::kBroken);
  return afterUnknownRun();
}

}  // namespace fernmoor::gateway
