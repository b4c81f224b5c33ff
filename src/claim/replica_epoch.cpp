#include "claim/replica_epoch.h"

#include <algorithm>
#include <set>

namespace fernmoor {

namespace {

std::vector<NodeId> nodesOf(const std::vector<GroupMember>& members) {
  std::vector<NodeId> nodes;
  nodes.reserve(members.size());
  for (const GroupMember& member : members) {
    nodes.push_back(member.node);
  }
  return nodes;
}

std::vector<NodeId> without(std::vector<NodeId> nodes, NodeId node) {
  nodes.erase(std::remove(nodes.begin(), nodes.end(), node), nodes.end());
  return nodes;
}

}  // namespace

ReplicaEpoch::ReplicaEpoch(NodeLife self, int64_t wallMicrosecondsAtZero, const Knobs& knobs,
                           ClaimRules rules, ClaimStore& store)
    : self_(self),
      wallMicrosecondsAtZero_(wallMicrosecondsAtZero),
      knobs_(knobs),
      rules_(rules),
      store_(store) {}

int64_t ReplicaEpoch::floorAt(Time now) const {
  // Replicas vote for births up to one skew ahead of a clock that is itself up to one skew ahead.
  return wallMicrosecondsAtZero_ + now.time_since_epoch().count() +
         2 * knobs_.claimClockSkew.count();
}

size_t ReplicaEpoch::groupSize(const std::vector<GroupMember>& members) const {
  return std::min(members.size(), static_cast<size_t>(knobs_.claimReplicaCount));
}

std::vector<NodeId> ReplicaEpoch::groupFor(const ClaimKey& key) const {
  return replicaGroupFor(key, configuration_.members,
                         static_cast<size_t>(knobs_.claimReplicaCount));
}

bool ReplicaEpoch::isMember() const {
  return contains(nodesOf(configuration_.members), self_.node);
}

void ReplicaEpoch::seal(uint64_t belowEpoch) {
  sealedBelow_ = std::max(sealedBelow_, belowEpoch);
}

void ReplicaEpoch::enter(const GroupConfiguration& configuration, Time now) {
  if (configuration.epoch <= configuration_.epoch) {
    return;
  }
  const bool heldEarlierEpoch = configuration_.epoch != 0;
  ownStateIsSource_ = completeEpoch_ != 0 && completeEpoch_ == configuration.previousEpoch;
  configuration_ = configuration;
  seal(configuration.epoch);
  recovery_.reset();
  sealing_.reset();
  recoveryAbandoned_ = false;
  const auto& members = configuration_.members;
  const auto own = std::find_if(members.begin(), members.end(), [&](const GroupMember& member) {
    return member.node == self_.node;
  });
  if (own == members.end()) {
    return;
  }
  const bool lostMemory = !heldEarlierEpoch && own->joinedAt != self_.incarnation;
  if (lostMemory && rules_.silentWhileEmpty) {
    recovery_.emplace(configuration.epoch, configuration.epoch,
                      without(nodesOf(members), self_.node), std::vector<NodeId>{}, rules_);
    recoveryDeadline_ = now + knobs_.claimRecoveryTimeout;
  }
  if (!configuration.previousMembers.empty() && rules_.sealBeforeVote) {
    sealing_.emplace(configuration.previousEpoch, configuration.epoch,
                     without(nodesOf(configuration.previousMembers), self_.node),
                     configuration.retired, rules_);
    emptySourceFloor_ = floorAt(now);
  }
  completeIfPossible();
}

bool ReplicaEpoch::recoveredFromPeers() const {
  return recovery_ && recovery_->missingState() == 0 &&
         recovery_->sourceCount() >= intersectionOf(groupSize(configuration_.members));
}

bool ReplicaEpoch::everyGroupIsSealed() const {
  const size_t size = groupSize(configuration_.previousMembers);
  return !sealing_ || sealing_->missingSeal() <= size - intersectionOf(size);
}

bool ReplicaEpoch::everyGroupHasState() const {
  if (!sealing_) {
    return true;
  }
  const size_t size = groupSize(configuration_.previousMembers);
  const bool wasMember = contains(nodesOf(configuration_.previousMembers), self_.node);
  const size_t ownMissing = wasMember && !ownStateIsSource_ ? 1 : 0;
  return sealing_->missingState() + ownMissing <= size - intersectionOf(size);
}

int64_t ReplicaEpoch::floorForPeers() const {
  if (recoveredFromPeers() || everyGroupHasState()) {
    return store_.birthFloor();
  }
  return std::max(store_.birthFloor(), emptySourceFloor_);
}

bool ReplicaEpoch::votesIn(uint64_t epoch, const ClaimKey& key) const {
  return epoch != 0 && epoch == configuration_.epoch && epoch >= sealedBelow_ &&
         contains(groupFor(key), self_.node);
}

bool ReplicaEpoch::settle(const ClaimKey& key) {
  ClaimRecord* known = store_.find(key);
  if (known != nullptr && known->state == RecordState::kCompleted) {
    known->settledEpoch = configuration_.epoch;  // An answer is valid in every epoch.
  }
  if (known != nullptr && known->settledEpoch == configuration_.epoch) {
    return true;
  }
  if (!sealing_ && !recovery_) {
    return true;
  }
  if (recovery_ && settleByRecovery(key)) {
    return true;
  }
  if (recovery_ && !recoveryAbandoned_) {
    return false;
  }
  return settleBySealing(key);
}

bool ReplicaEpoch::settleByRecovery(const ClaimKey& key) {
  const std::vector<NodeId> group = groupFor(key);
  const TransferView view = recovery_->view(key, group);
  if (view.withState < intersectionOf(group.size())) {
    return false;
  }
  return finishSettling(key, mergeRecords(view.records, rules_.voidConflicts));
}

TransferView ReplicaEpoch::sealedView(const ClaimKey& key, const std::vector<NodeId>& group) const {
  TransferView view = sealing_->view(key, group);
  if (!contains(group, self_.node)) {
    return view;
  }
  ++view.sealed;
  if (ownStateIsSource_) {
    ++view.withState;
    view.records.push_back(RecordView{store_.find(key), store_.isOlderThanFloor(key)});
  }
  return view;
}

bool ReplicaEpoch::settleBySealing(const ClaimKey& key) {
  TransferView view;
  bool lost = recoveryAbandoned_ && store_.isOlderThanFloor(key);
  if (sealing_) {
    const std::vector<NodeId> group = replicaGroupFor(
        key, configuration_.previousMembers, static_cast<size_t>(knobs_.claimReplicaCount));
    view = sealedView(key, group);
    if (view.sealed < intersectionOf(group.size())) {
      return false;
    }
    lost = lost || (view.withState < intersectionOf(group.size()) &&
                    key.birthMicroseconds < emptySourceFloor_);
  }
  if (recovery_) {
    const TransferView peers = recovery_->view(key, groupFor(key));
    view.records.insert(view.records.end(), peers.records.begin(), peers.records.end());
  }
  ClaimRecord merged = mergeRecords(view.records, rules_.voidConflicts);
  if (lost && rules_.birthCheck) {
    merged.apply(RecordEvent::kVoid);
  }
  return finishSettling(key, std::move(merged));
}

bool ReplicaEpoch::finishSettling(const ClaimKey& key, ClaimRecord merged) {
  merged.settledEpoch = configuration_.epoch;
  if (!store_.put(key, std::move(merged))) {
    return false;
  }
  if (sealing_) {
    sealing_->forget(key);
  }
  if (recovery_) {
    recovery_->forget(key);
  }
  return true;
}

bool ReplicaEpoch::settleAllKnown() {
  std::set<ClaimKey> keys;
  for (const auto& [key, record] : store_.records()) {
    keys.insert(key);
  }
  for (const auto* transfer :
       {recovery_ ? &*recovery_ : nullptr, sealing_ ? &*sealing_ : nullptr}) {
    if (transfer != nullptr) {
      const std::vector<ClaimKey> pending = transfer->pendingKeys();
      keys.insert(pending.begin(), pending.end());
    }
  }
  bool all = true;
  for (const ClaimKey& key : keys) {
    if (contains(groupFor(key), self_.node)) {
      all = settle(key) && all;
    }
  }
  return all;
}

void ReplicaEpoch::completeIfPossible() {
  const bool ready = configuration_.epoch != 0 && isMember() && !isRecovering() &&
                     (recoveredFromPeers() || everyGroupIsSealed());
  if (ready && !isActive() && settleAllKnown()) {
    completeEpoch_ = configuration_.epoch;
  }
}

bool ReplicaEpoch::onReply(const NodeLife& from, const proto::ClaimTransferReply& reply, Time now) {
  if (reply.requester_incarnation() != self_.incarnation.value()) {
    return false;
  }
  seal(reply.sealed_below_epoch());
  const bool isSealing = reply.target_epoch() > reply.source_epoch();
  if (isSealing && sealing_ && reply.status() == proto::CLAIM_TRANSFER_STATUS_EMPTY) {
    emptySourceFloor_ = std::max(emptySourceFloor_, floorAt(now));
  }
  if (reply.status() == proto::CLAIM_TRANSFER_STATUS_WITH_STATE && !isActive()) {
    store_.raiseBirthFloor(reply.birth_floor_microseconds());
  }
  std::optional<StateTransfer>& transfer = isSealing ? sealing_ : recovery_;
  const bool more = transfer && transfer->onReply(from, reply, now);
  completeIfPossible();
  return more;
}

void ReplicaEpoch::onTick(Time now) {
  if (isRecovering() && now >= recoveryDeadline_) {
    recoveryAbandoned_ = true;
    store_.raiseBirthFloor(floorAt(now));
  }
  completeIfPossible();
}

std::vector<std::pair<NodeId, proto::ClaimTransferRequest>> ReplicaEpoch::transferRequests() const {
  std::vector<std::pair<NodeId, proto::ClaimTransferRequest>> due;
  if (recovery_ && !recoveryAbandoned_) {
    due = recovery_->requests();
  }
  if (sealing_ && !recoveredFromPeers()) {
    const auto more = sealing_->requests();
    due.insert(due.end(), more.begin(), more.end());
  }
  return due;
}

proto::ClaimTransferStatus ReplicaEpoch::transferStatus(uint64_t sourceEpoch,
                                                        uint64_t targetEpoch) const {
  const bool inSourceEpoch = configuration_.epoch == sourceEpoch;
  if (targetEpoch == sourceEpoch) {
    const bool votes = inSourceEpoch && sealedBelow_ <= sourceEpoch;
    if (votes && isActive()) {
      return proto::CLAIM_TRANSFER_STATUS_WITH_STATE;
    }
    return proto::CLAIM_TRANSFER_STATUS_NOT_YET;
  }
  if (completeEpoch_ != 0 && completeEpoch_ >= sourceEpoch) {
    return proto::CLAIM_TRANSFER_STATUS_WITH_STATE;
  }
  // It may still become complete only while it takes over from the epoch before the source.
  const bool willComplete = inSourceEpoch && !isRecovering();
  return willComplete ? proto::CLAIM_TRANSFER_STATUS_NOT_YET : proto::CLAIM_TRANSFER_STATUS_EMPTY;
}

}  // namespace fernmoor
