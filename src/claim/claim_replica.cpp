#include "claim/claim_replica.h"

#include <algorithm>
#include <utility>

namespace fernmoor {

namespace {

constexpr Duration kPruneInterval{1000000};

uint64_t ageMilliseconds(Time since, Time now) {
  return static_cast<uint64_t>(
      std::max<int64_t>(0, duration_cast<std::chrono::milliseconds>(now - since).count()));
}

}  // namespace

ClaimReplica::ClaimReplica(NodeLife self, int64_t wallMicrosecondsAtZero, const Knobs& knobs,
                           ClaimRules rules)
    : wallMicrosecondsAtZero_(wallMicrosecondsAtZero),
      knobs_(knobs),
      rules_(rules),
      store_(knobs),
      epoch_(self, wallMicrosecondsAtZero, knobs, rules, store_) {
  raiseIncarnation(incarnations_, self);
}

int64_t ClaimReplica::wallMicrosecondsAt(Time now) const {
  return wallMicrosecondsAtZero_ + now.time_since_epoch().count();
}

void ClaimReplica::setGroupConfiguration(const GroupConfiguration& configuration, Time now) {
  epoch_.enter(configuration, now);
  nextTransfer_ = now;
}

proto::ClaimVerdict ClaimReplica::vote(const ClaimKey& key, const ClaimAttempt& attempt,
                                       uint64_t digest, uint64_t epoch, Time now) {
  if (!epoch_.votesIn(epoch, key)) {
    return proto::CLAIM_VERDICT_WRONG_EPOCH;
  }
  if (!epoch_.settle(key)) {
    return proto::CLAIM_VERDICT_RECOVERING;
  }
  const ClaimRecord* record = store_.find(key);
  if (record == nullptr) {
    return voteUnclaimed(key, attempt, digest, now);
  }
  switch (record->state) {
    case RecordState::kCompleted:
      return proto::CLAIM_VERDICT_COMPLETED;
    case RecordState::kVoided:
      return proto::CLAIM_VERDICT_VOIDED;
    case RecordState::kClaimed:
      return record->holder == attempt || !rules_.firstClaimWins ? proto::CLAIM_VERDICT_GRANTED
                                                                 : proto::CLAIM_VERDICT_HELD;
    case RecordState::kUnclaimed:
      break;
  }
  if (record->isReleased(attempt) && rules_.tombstones) {
    return proto::CLAIM_VERDICT_RELEASED;
  }
  return voteUnclaimed(key, attempt, digest, now);
}

proto::ClaimVerdict ClaimReplica::voteUnclaimed(const ClaimKey& key, const ClaimAttempt& attempt,
                                                uint64_t digest, Time now) {
  if (rules_.birthCheck && store_.isOlderThanFloor(key)) {
    return proto::CLAIM_VERDICT_TOO_OLD;
  }
  if (rules_.birthCheck &&
      key.birthMicroseconds > wallMicrosecondsAt(now) + knobs_.claimClockSkew.count()) {
    return proto::CLAIM_VERDICT_TOO_NEW;
  }
  ClaimRecord* record = store_.findOrAdd(key);
  if (record == nullptr) {
    return proto::CLAIM_VERDICT_FULL;
  }
  record->apply(RecordEvent::kClaim);
  record->holder = attempt;
  record->digest = digest;
  record->since = now;
  record->settledEpoch = epoch_.configuration().epoch;
  return proto::CLAIM_VERDICT_GRANTED;
}

void ClaimReplica::onClaim(NodeLife from, const proto::ClaimRequest& request, Time now,
                           MessageSender& sender) {
  const std::optional<ClaimKey> key = fromProto(request.key());
  const ClaimAttempt attempt = fromProto(request.attempt());
  if (!key || attempt.dispatcher != from) {
    return;
  }
  proto::Envelope envelope;
  proto::ClaimReply& reply = *envelope.mutable_claim()->mutable_claim_reply();
  reply.set_verdict(vote(*key, attempt, request.digest(), request.epoch(), now));
  *reply.mutable_key() = request.key();
  *reply.mutable_attempt() = request.attempt();
  reply.set_epoch(request.epoch());
  for (const NodeId node : epoch_.groupFor(*key)) {
    *reply.add_crash_vector() = toProto(NodeLife{node, knownIncarnation(incarnations_, node)});
  }
  if (const ClaimRecord* record = std::as_const(store_).find(*key)) {
    reply.set_holder_digest(record->digest);
    reply.set_holder_age_milliseconds(ageMilliseconds(record->since, now));
    if (reply.verdict() == proto::CLAIM_VERDICT_COMPLETED) {
      *reply.mutable_answer() = toProto(record->answer);
    }
  }
  sender.send(from.node, envelope);
}

bool ClaimReplica::applyRelease(const ClaimKey& key, const ClaimAttempt& attempt) {
  // Settling a key later may bring in a claim that this release ends.
  const bool inGroup = contains(epoch_.groupFor(key), epoch_.self().node);
  if (inGroup && !epoch_.settle(key)) {
    return false;
  }
  if (store_.find(key) == nullptr && store_.isOlderThanFloor(key)) {
    return true;
  }
  ClaimRecord* record = store_.findOrAdd(key);
  if (record == nullptr) {
    return false;
  }
  if (record->settledEpoch == 0) {
    record->settledEpoch = epoch_.configuration().epoch;
  }
  record->addTombstone(attempt);
  if (record->state == RecordState::kClaimed && record->holder == attempt) {
    record->apply(RecordEvent::kRelease);
  }
  return true;
}

void ClaimReplica::onRelease(NodeLife from, const proto::ClaimRelease& release,
                             MessageSender& sender) {
  const std::optional<ClaimKey> key = fromProto(release.key());
  const ClaimAttempt attempt = fromProto(release.attempt());
  if (!key || (attempt.dispatcher != from && rules_.releaseByAuthor)) {
    return;
  }
  if (!applyRelease(*key, attempt)) {
    return;  // Not acknowledged, so that the dispatcher resends it.
  }
  proto::Envelope envelope;
  proto::ClaimReleaseReply& reply = *envelope.mutable_claim()->mutable_release_reply();
  *reply.mutable_key() = release.key();
  *reply.mutable_attempt() = release.attempt();
  sender.send(from.node, envelope);
}

void ClaimReplica::onCompletion(NodeLife from, const proto::ClaimCompletion& completion, Time now,
                                MessageSender& sender) {
  const std::optional<ClaimKey> key = fromProto(completion.key());
  const ClaimAttempt attempt = fromProto(completion.attempt());
  if (!key || attempt.dispatcher != from) {
    return;
  }
  if (store_.find(*key) == nullptr && store_.isOlderThanFloor(*key)) {
    return;
  }
  ClaimRecord* record = store_.findOrAdd(*key);
  if (record == nullptr) {
    return;
  }
  if (record->apply(RecordEvent::kComplete)) {
    // An answer is valid in every epoch: its dispatcher had been granted the key.
    record->settledEpoch = epoch_.configuration().epoch;
    record->holder = attempt;
    record->digest = completion.digest();
    record->since = now;
    store_.keepAnswer(*record, fromProto(completion.answer()));
  }
  proto::Envelope envelope;
  proto::ClaimCompletionReply& reply = *envelope.mutable_claim()->mutable_completion_reply();
  *reply.mutable_key() = completion.key();
  *reply.mutable_attempt() = completion.attempt();
  sender.send(from.node, envelope);
}

void ClaimReplica::fillPage(const proto::ClaimTransferRequest& request, NodeId requester, Time now,
                            proto::ClaimTransferReply& reply) const {
  const std::optional<ClaimKey> after =
      request.has_after() ? fromProto(request.after()) : std::optional<ClaimKey>();
  const bool knowsTarget = epoch_.configuration().epoch == request.target_epoch();
  const bool isRecovery = request.target_epoch() == request.source_epoch();
  const auto& records = store_.records();
  size_t bytes = 0;
  auto next = after ? records.upper_bound(*after) : records.begin();
  for (; next != records.end(); ++next) {
    const auto& [key, record] = *next;
    if (knowsTarget && !contains(epoch_.groupFor(key), requester)) {
      continue;
    }
    if (isRecovery && record.settledEpoch != request.source_epoch()) {
      continue;  // Left over from a group that this replica no longer belongs to.
    }
    proto::ClaimRecordMessage message = toProto(key, record, now);
    bytes += message.ByteSizeLong();
    if (bytes > static_cast<size_t>(knobs_.claimTransferPageBytes) && reply.records_size() > 0) {
      break;
    }
    *reply.add_records() = std::move(message);
  }
  reply.set_last_page(next == records.end());
}

void ClaimReplica::onTransfer(NodeLife from, const proto::ClaimTransferRequest& request, Time now,
                              MessageSender& sender) {
  if (request.target_epoch() > request.source_epoch()) {
    epoch_.seal(request.target_epoch());
  }
  proto::Envelope envelope;
  proto::ClaimTransferReply& reply = *envelope.mutable_claim()->mutable_transfer_reply();
  reply.set_status(epoch_.transferStatus(request.source_epoch(), request.target_epoch()));
  reply.set_source_epoch(request.source_epoch());
  reply.set_target_epoch(request.target_epoch());
  reply.set_requester_incarnation(from.incarnation.value());
  reply.set_sealed_below_epoch(epoch_.sealedBelow());
  if (request.has_after()) {
    *reply.mutable_after() = request.after();
  }
  if (reply.status() == proto::CLAIM_TRANSFER_STATUS_WITH_STATE) {
    for (const auto& [node, incarnation] : incarnations_) {
      *reply.add_crash_vector() = toProto(NodeLife{node, incarnation});
    }
    reply.set_birth_floor_microseconds(epoch_.floorForPeers());
    fillPage(request, from.node, now, reply);
  }
  sender.send(from.node, envelope);
}

void ClaimReplica::sendTransferRequests(Time now, MessageSender& sender) {
  for (const auto& [node, request] : epoch_.transferRequests()) {
    proto::Envelope envelope;
    *envelope.mutable_claim()->mutable_transfer() = request;
    sender.send(node, envelope);
  }
  nextTransfer_ = now + knobs_.claimTransferInterval;
}

void ClaimReplica::onTick(Time now, MessageSender& sender) {
  if (now >= nextPrune_) {
    store_.pruneBornBefore(wallMicrosecondsAt(now) - knobs_.claimRetention.count());
    nextPrune_ = now + kPruneInterval;
  }
  epoch_.onTick(now);
  if (now >= nextTransfer_) {
    sendTransferRequests(now, sender);
  }
}

void ClaimReplica::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                             MessageSender& sender) {
  raiseIncarnation(incarnations_, from);
  const proto::ClaimMessage& message = envelope.claim();
  switch (message.body_case()) {
    case proto::ClaimMessage::kClaim:
      return onClaim(from, message.claim(), now, sender);
    case proto::ClaimMessage::kRelease:
      return onRelease(from, message.release(), sender);
    case proto::ClaimMessage::kCompletion:
      return onCompletion(from, message.completion(), now, sender);
    case proto::ClaimMessage::kTransfer:
      return onTransfer(from, message.transfer(), now, sender);
    case proto::ClaimMessage::kTransferReply:
      for (const proto::NodeLife& identity : message.transfer_reply().crash_vector()) {
        raiseIncarnation(incarnations_, fromProto(identity));
      }
      if (epoch_.onReply(from, message.transfer_reply(), now)) {
        sendTransferRequests(now, sender);
      }
      return;
    default:
      return;
  }
}

ClaimReplicaStatus ClaimReplica::status() const {
  ClaimReplicaStatus status;
  status.epoch = epoch_.configuration().epoch;
  status.isMember = epoch_.isMember();
  status.isActive = epoch_.isActive();
  status.records = store_.records().size();
  status.storedBytes = store_.storedBytes();
  for (const auto& [key, record] : store_.records()) {
    status.claimed += record.state == RecordState::kClaimed ? 1 : 0;
    status.voided += record.state == RecordState::kVoided ? 1 : 0;
  }
  return status;
}

}  // namespace fernmoor
