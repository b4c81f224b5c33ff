#include "claim/claim_coordinator.h"

#include <algorithm>
#include <utility>

#include "claim/claim_refusal.h"

namespace fernmoor {

namespace {

/// Completions and releases are resent with backoff; the longest interval is the release time
/// divided by this.
constexpr int kResendsPerReleaseTime = 8;

bool isFinal(proto::ClaimVerdict verdict) {
  return verdict != proto::CLAIM_VERDICT_RECOVERING &&
         verdict != proto::CLAIM_VERDICT_WRONG_EPOCH && verdict != proto::CLAIM_VERDICT_UNSPECIFIED;
}

}  // namespace

ClaimCoordinator::ClaimCoordinator(NodeLife self, int64_t wallMicrosecondsAtZero,
                                   const Knobs& knobs, uint64_t seed, ClaimRules rules)
    : self_(self),
      wallMicrosecondsAtZero_(wallMicrosecondsAtZero),
      knobs_(knobs),
      rules_(rules),
      random_(seed) {}

int64_t ClaimCoordinator::wallMicrosecondsAt(Time now) const {
  return wallMicrosecondsAtZero_ + now.time_since_epoch().count();
}

Duration ClaimCoordinator::jitteredRetryDelay() {
  return random_.between(knobs_.claimRetryAfter, 2 * knobs_.claimRetryAfter);
}

ClaimCoordinator::Attempt* ClaimCoordinator::findByTicket(ClaimTicket ticket) {
  for (auto& [number, attempt] : attempts_) {
    if (attempt.ticket == ticket) {
      return &attempt;
    }
  }
  return nullptr;
}

const ClaimCoordinator::Attempt* ClaimCoordinator::findActive(const ClaimKey& key) const {
  for (const auto& [number, attempt] : attempts_) {
    if (attempt.key == key && attempt.phase != Phase::kReleasing) {
      return &attempt;
    }
  }
  return nullptr;
}

ClaimTicket ClaimCoordinator::begin(const ClaimKey& key, uint64_t digest, Time now,
                                    MessageSender& sender) {
  const ClaimTicket ticket(++lastTicket_);
  // Three times the skew: two between the nodes, one that each node allows.
  if (key.birthMicroseconds > wallMicrosecondsAt(now) + 3 * knobs_.claimClockSkew.count()) {
    resolutions_.push_back({ticket, claimRefusal::bornInFuture(RunState::kNotRun, std::nullopt)});
    return ticket;
  }
  if (const Attempt* active = findActive(key)) {
    const bool sameRequest = active->digest == digest;
    resolutions_.push_back({ticket, sameRequest ? ClaimOutcome(ClaimBusy{jitteredRetryDelay()})
                                                : claimRefusal::keyReused(RunState::kUnknown)});
    return ticket;
  }
  if (configuration_.members.empty()) {
    resolutions_.push_back({ticket, claimRefusal::noReplicas(jitteredRetryDelay())});
    return ticket;
  }
  if (attempts_.size() >= static_cast<size_t>(knobs_.claimMaximumAttempts)) {
    resolutions_.push_back({ticket, claimRefusal::tooManyClaims(jitteredRetryDelay())});
    return ticket;
  }
  start(ticket, key, digest, now + knobs_.claimTimeout, now, sender);
  return ticket;
}

void ClaimCoordinator::start(ClaimTicket ticket, const ClaimKey& key, uint64_t digest,
                             Time deadline, Time now, MessageSender& sender) {
  const uint64_t number = ++lastAttempt_;
  Attempt& attempt = attempts_[number];
  attempt.ticket = ticket;
  attempt.key = key;
  attempt.digest = digest;
  attempt.id = ClaimAttempt{self_, number};
  attempt.epoch = configuration_.epoch;
  attempt.group =
      replicaGroupFor(key, configuration_.members, static_cast<size_t>(knobs_.claimReplicaCount));
  attempt.deadline = deadline;
  attempt.resendInterval = knobs_.claimResendInterval;
  sendDue(attempt, now, sender);
}

void ClaimCoordinator::complete(ClaimTicket ticket, const ClaimAnswer& answer, Time now,
                                MessageSender& sender) {
  Attempt* attempt = findByTicket(ticket);
  if (attempt == nullptr || attempt->phase != Phase::kGranted) {
    completions_.push_back({ticket, false});
    return;
  }
  attempt->phase = Phase::kCompleting;
  attempt->answer = answer;
  if (answer.body.size() > static_cast<size_t>(knobs_.claimMaximumAnswerBytes)) {
    attempt->answer.body.clear();
    attempt->answer.dropped = true;
  }
  attempt->deadline = now + knobs_.claimReleaseTime;
  attempt->unacknowledged.insert(attempt->group.begin(), attempt->group.end());
  sendDue(*attempt, now, sender);
}

void ClaimCoordinator::release(ClaimTicket ticket, Time now, MessageSender& sender) {
  Attempt* attempt = findByTicket(ticket);
  if (attempt == nullptr) {
    return;
  }
  if (attempt->phase == Phase::kClaiming || attempt->phase == Phase::kGranted) {
    beginRelease(*attempt, now, sender);
  }
}

void ClaimCoordinator::beginRelease(Attempt& attempt, Time now, MessageSender& sender) {
  attempt.phase = Phase::kReleasing;
  attempt.deadline = now + knobs_.claimReleaseTime;
  attempt.unacknowledged.insert(attempt.group.begin(), attempt.group.end());
  sendDue(attempt, now, sender);
}

void ClaimCoordinator::reject(Attempt& attempt, ClaimOutcome outcome, Time now,
                              MessageSender& sender) {
  resolutions_.push_back({attempt.ticket, std::move(outcome)});
  beginRelease(attempt, now, sender);
}

void ClaimCoordinator::dropStaleVotes(Attempt& attempt) const {
  if (!rules_.crashVectors) {
    return;
  }
  CrashVector known;
  for (const auto& [node, vote] : attempt.votes) {
    raiseIncarnation(known, NodeLife{node, vote.incarnation});
    for (const auto& [other, incarnation] : vote.vector) {
      raiseIncarnation(known, NodeLife{other, incarnation});
    }
  }
  for (auto vote = attempt.votes.begin(); vote != attempt.votes.end();) {
    const bool stale = vote->second.incarnation < knownIncarnation(known, vote->first);
    vote = stale ? attempt.votes.erase(vote) : std::next(vote);
  }
}

void ClaimCoordinator::evaluateVotes(Attempt& attempt, Time now, MessageSender& sender) {
  dropStaleVotes(attempt);
  size_t granted = 0;
  size_t against = 0;
  for (const auto& [node, vote] : attempt.votes) {
    if (vote.verdict == proto::CLAIM_VERDICT_COMPLETED) {
      return reject(attempt, outcomeOfCompleted(attempt, vote), now, sender);
    }
    (vote.verdict == proto::CLAIM_VERDICT_GRANTED ? granted : against) += 1;
  }
  const size_t needed = rules_.majorityVote ? majorityOf(attempt.group.size()) : 1;
  if (granted >= needed) {
    attempt.phase = Phase::kGranted;
    resolutions_.push_back({attempt.ticket, ClaimGranted{attempt.id}});
    return;
  }
  const bool cannotWin = attempt.group.size() - against < needed;
  if (cannotWin || now >= attempt.deadline) {
    reject(attempt, outcomeOfLoss(attempt, now), now, sender);
  }
}

ClaimOutcome ClaimCoordinator::outcomeOfCompleted(const Attempt& attempt, const Vote& vote) const {
  if (vote.holderDigest != attempt.digest) {
    return claimRefusal::keyReused(RunState::kNotRun);
  }
  if (vote.answer.dropped) {
    return claimRefusal::answerNotKept();
  }
  return ClaimRecorded{vote.answer};
}

ClaimOutcome ClaimCoordinator::outcomeOfLoss(const Attempt& attempt, Time now) {
  size_t permanentRejections = 0;
  const Vote* held = nullptr;
  bool full = false;
  bool tooNew = false;
  for (const auto& [node, vote] : attempt.votes) {
    const bool isVoided = vote.verdict == proto::CLAIM_VERDICT_VOIDED;
    permanentRejections += isVoided || vote.verdict == proto::CLAIM_VERDICT_TOO_OLD ? 1 : 0;
    full = full || vote.verdict == proto::CLAIM_VERDICT_FULL;
    tooNew = tooNew || vote.verdict == proto::CLAIM_VERDICT_TOO_NEW;
    held = vote.verdict == proto::CLAIM_VERDICT_HELD ? &vote : held;
  }
  if (held != nullptr && held->holderDigest != attempt.digest) {
    return claimRefusal::keyReused(RunState::kUnknown);
  }
  const bool canNeverWin =
      attempt.group.size() - permanentRejections < majorityOf(attempt.group.size());
  if (canNeverWin || (held != nullptr && held->holderAge > knobs_.claimBusyLimit)) {
    return claimRefusal::outcomeUnknown();
  }
  if (held != nullptr) {
    return ClaimBusy{jitteredRetryDelay()};
  }
  if (tooNew) {
    const Duration early(attempt.key.birthMicroseconds - wallMicrosecondsAt(now));
    return claimRefusal::bornInFuture(RunState::kUnknown, std::max(early, knobs_.claimRetryAfter));
  }
  return full ? claimRefusal::tooManyClaims(jitteredRetryDelay())
              : claimRefusal::noReplicas(jitteredRetryDelay());
}

void ClaimCoordinator::onReply(const NodeLife& from, const proto::ClaimReply& reply, Time now,
                               MessageSender& sender) {
  const auto found = attempts_.find(reply.attempt().number());
  if (found == attempts_.end() || fromProto(reply.attempt()) != found->second.id) {
    return;
  }
  Attempt& attempt = found->second;
  if (attempt.phase != Phase::kClaiming || !contains(attempt.group, from.node) ||
      !isFinal(reply.verdict())) {
    return;
  }
  const auto former = attempt.votes.find(from.node);
  if (former != attempt.votes.end() && from.incarnation < former->second.incarnation) {
    return;
  }
  Vote vote;
  vote.incarnation = from.incarnation;
  for (const proto::NodeLife& identity : reply.crash_vector()) {
    raiseIncarnation(vote.vector, fromProto(identity));
  }
  vote.verdict = reply.verdict();
  vote.holderDigest = reply.holder_digest();
  vote.holderAge = std::chrono::milliseconds(
      std::min<uint64_t>(reply.holder_age_milliseconds(), uint64_t{1} << 40U));
  vote.answer = fromProto(reply.answer());
  attempt.votes[from.node] = std::move(vote);
  evaluateVotes(attempt, now, sender);
}

void ClaimCoordinator::onAcknowledged(NodeId from, uint64_t number, Phase phase) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end() || found->second.phase != phase) {
    return;
  }
  Attempt& attempt = found->second;
  if (attempt.unacknowledged.erase(from) == 0) {
    return;
  }
  attempt.acknowledged += contains(attempt.group, from) ? 1 : 0;
  if (phase == Phase::kCompleting && attempt.acknowledged >= majorityOf(attempt.group.size())) {
    reportCompletion(attempt, true);
  }
  if (attempt.unacknowledged.empty()) {
    attempts_.erase(found);
  }
}

void ClaimCoordinator::reportCompletion(Attempt& attempt, bool recorded) {
  if (!attempt.completionReported) {
    attempt.completionReported = true;
    completions_.push_back({attempt.ticket, recorded});
  }
}

void ClaimCoordinator::setGroupConfiguration(const GroupConfiguration& configuration, Time now,
                                             MessageSender& sender) {
  if (configuration.epoch <= configuration_.epoch) {
    return;
  }
  configuration_ = configuration;
  std::vector<uint64_t> restarted;
  for (auto& [number, attempt] : attempts_) {
    const std::vector<NodeId> group = replicaGroupFor(
        attempt.key, configuration_.members, static_cast<size_t>(knobs_.claimReplicaCount));
    if (attempt.phase == Phase::kClaiming) {
      restarted.push_back(number);
      continue;
    }
    if (attempt.phase != Phase::kGranted) {
      attempt.unacknowledged.insert(group.begin(), group.end());
    }
    attempt.group = group;
    attempt.acknowledged = 0;
  }
  for (const uint64_t number : restarted) {
    // Votes of different epochs can't be combined, so the claim is restarted.
    Attempt& old = attempts_[number];
    const ClaimTicket ticket = std::exchange(old.ticket, ClaimTicket());
    const Time deadline = old.deadline;
    beginRelease(old, now, sender);
    start(ticket, old.key, old.digest, deadline, now, sender);
  }
}

void ClaimCoordinator::sendClaim(const Attempt& attempt, MessageSender& sender) const {
  proto::Envelope envelope;
  proto::ClaimRequest& request = *envelope.mutable_claim()->mutable_claim();
  *request.mutable_key() = toProto(attempt.key);
  *request.mutable_attempt() = toProto(attempt.id);
  request.set_digest(attempt.digest);
  request.set_epoch(attempt.epoch);
  for (const NodeId node : attempt.group) {
    if (attempt.votes.count(node) == 0) {
      sender.send(node, envelope);
    }
  }
}

void ClaimCoordinator::sendCompletionOrRelease(const Attempt& attempt,
                                               MessageSender& sender) const {
  proto::Envelope envelope;
  if (attempt.phase == Phase::kCompleting) {
    proto::ClaimCompletion& completion = *envelope.mutable_claim()->mutable_completion();
    *completion.mutable_key() = toProto(attempt.key);
    *completion.mutable_attempt() = toProto(attempt.id);
    completion.set_digest(attempt.digest);
    *completion.mutable_answer() = toProto(attempt.answer);
  } else {
    proto::ClaimRelease& release = *envelope.mutable_claim()->mutable_release();
    *release.mutable_key() = toProto(attempt.key);
    *release.mutable_attempt() = toProto(attempt.id);
  }
  for (const NodeId node : attempt.unacknowledged) {
    sender.send(node, envelope);
  }
}

void ClaimCoordinator::sendDue(Attempt& attempt, Time now, MessageSender& sender) {
  attempt.nextSend = now + attempt.resendInterval;
  if (attempt.phase == Phase::kClaiming) {
    sendClaim(attempt, sender);
  } else if (attempt.phase != Phase::kGranted) {
    sendCompletionOrRelease(attempt, sender);
    // Without backoff, a dead replica would cost one message per attempt and interval.
    attempt.resendInterval =
        std::min(2 * attempt.resendInterval, knobs_.claimReleaseTime / kResendsPerReleaseTime);
  }
}

void ClaimCoordinator::onTick(Time now, MessageSender& sender) {
  for (auto entry = attempts_.begin(); entry != attempts_.end();) {
    Attempt& attempt = entry->second;
    const bool isEnding = attempt.phase == Phase::kCompleting || attempt.phase == Phase::kReleasing;
    if (isEnding && now >= attempt.deadline) {
      if (attempt.phase == Phase::kCompleting) {
        reportCompletion(attempt, false);
      }
      entry = attempts_.erase(entry);
      continue;
    }
    if (attempt.phase == Phase::kClaiming && now >= attempt.deadline) {
      evaluateVotes(attempt, now, sender);
    } else if (now >= attempt.nextSend) {
      sendDue(attempt, now, sender);
    }
    ++entry;
  }
}

void ClaimCoordinator::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                                 MessageSender& sender) {
  const proto::ClaimMessage& message = envelope.claim();
  switch (message.body_case()) {
    case proto::ClaimMessage::kClaimReply:
      return onReply(from, message.claim_reply(), now, sender);
    case proto::ClaimMessage::kReleaseReply:
      if (fromProto(message.release_reply().attempt()).dispatcher == self_) {
        onAcknowledged(from.node, message.release_reply().attempt().number(), Phase::kReleasing);
      }
      return;
    case proto::ClaimMessage::kCompletionReply:
      if (fromProto(message.completion_reply().attempt()).dispatcher == self_) {
        onAcknowledged(from.node, message.completion_reply().attempt().number(),
                       Phase::kCompleting);
      }
      return;
    default:
      return;
  }
}

std::vector<ClaimResolution> ClaimCoordinator::takeResolutions() {
  return std::exchange(resolutions_, {});
}

std::vector<CompletionResolution> ClaimCoordinator::takeCompletions() {
  return std::exchange(completions_, {});
}

}  // namespace fernmoor
