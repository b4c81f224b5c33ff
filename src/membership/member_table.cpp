#include "membership/member_table.h"

#include <algorithm>
#include <cassert>

#include "common/rendezvous.h"

namespace fernmoor {

namespace {

bool isLive(const MemberEntry& entry) {
  return isLive(entry.status.health);
}

/// Leaves the health out: while many members are suspected in turn, tables would differ all the
/// time, and whole tables would be sent.
uint32_t hashOf(const MemberStatus& status) {
  const uint64_t fields[3] = {status.life.node.value(), status.life.incarnation.value(),
                              status.sequence};
  return static_cast<uint32_t>(XXH3_64bits(fields, sizeof(fields)));
}

}  // namespace

MemberTable::MemberTable(const MemberStatus& self, const MemberIdentity& identity,
                         const Knobs& knobs)
    : self_(self.life.node),
      suspicionTimeout_(knobs.membershipSuspicionTimeout),
      deadRetention_(knobs.membershipDeadRetention),
      maximumMembers_(static_cast<size_t>(knobs.membershipMaximumMembers)) {
  entries_[self_] = MemberEntry{self, identity, {}, {}, {}};
}

MergeOutcome MemberTable::merge(const MemberStatement& statement, Time now) {
  if (statement.status.life.node == self_) {
    return mergeSelf(statement.status);
  }
  const auto found = entries_.find(statement.status.life.node);
  return found == entries_.end() ? mergeUnknown(statement, now)
                                 : mergeKnown(found->second, statement, now);
}

MergeOutcome MemberTable::mergeSelf(const MemberStatus& status) {
  MemberStatus& own = mutableSelf().status;
  if (status.life.incarnation > own.life.incarnation) {
    return MergeOutcome::kSuperseded;
  }
  if (!overrides(status, own)) {
    return MergeOutcome::kStale;
  }
  if (own.health == MemberHealth::kLeft) {
    return MergeOutcome::kStale;
  }
  own.sequence = status.sequence + 1;
  noteChange();
  return MergeOutcome::kRefuted;
}

MergeOutcome MemberTable::mergeUnknown(const MemberStatement& statement, Time now) {
  if (!fernmoor::isLive(statement.status.health)) {
    return MergeOutcome::kStale;  // Nobody needs to know that a stranger is dead.
  }
  if (!statement.identity) {
    return MergeOutcome::kIdentityMissing;
  }
  if (!makeRoom()) {
    return MergeOutcome::kStale;
  }
  MemberEntry& entry = entries_[statement.status.life.node];
  entry.status = statement.status;
  entry.identity = *statement.identity;
  startSuspicion(entry, now);
  noteChange();
  return MergeOutcome::kNewLife;
}

MergeOutcome MemberTable::mergeKnown(MemberEntry& entry, const MemberStatement& statement,
                                     Time now) {
  MemberStatus status = statement.status;
  if (status.life.incarnation < entry.status.life.incarnation) {
    return MergeOutcome::kStale;
  }
  if (status.life.incarnation > entry.status.life.incarnation) {
    return mergeNewLife(entry, statement, now);
  }
  raiseTableVersion(status.life, status.tableVersion);
  if (!overrides(status, entry.status)) {
    const bool disagree = fernmoor::isLive(status.health) && !isLive(entry);
    return disagree ? MergeOutcome::kConflict : MergeOutcome::kStale;
  }
  // Hearsay makes a member suspect at most; it counts as dead once its time to refute is over here
  // too. Else the healing of a partition would kill both sides' members for a moment.
  if (status.health == MemberHealth::kDead) {
    status.health = MemberHealth::kSuspect;
  }
  if (!overrides(status, entry.status)) {
    return MergeOutcome::kStale;
  }
  replace(entry, status, now);
  return MergeOutcome::kChanged;
}

MergeOutcome MemberTable::mergeNewLife(MemberEntry& entry, const MemberStatement& statement,
                                       Time now) {
  if (!fernmoor::isLive(statement.status.health)) {
    return MergeOutcome::kStale;
  }
  if (!statement.identity) {
    return MergeOutcome::kIdentityMissing;
  }
  entry.status = statement.status;
  entry.identity = *statement.identity;
  startSuspicion(entry, now);
  noteChange();
  return MergeOutcome::kNewLife;
}

void MemberTable::replace(MemberEntry& entry, const MemberStatus& status, Time now) {
  assert(entry.status.life == status.life);
  assert(overrides(status, entry.status));
  assert(entry.status.health != MemberHealth::kAlive || status.health != MemberHealth::kDead);
  const MemberStatus former = entry.status;
  entry.status = status;
  entry.status.tableVersion = std::max(former.tableVersion, status.tableVersion);
  if (status.health == MemberHealth::kSuspect && former.health != MemberHealth::kSuspect) {
    startSuspicion(entry, now);
  }
  if (!fernmoor::isLive(status.health) && fernmoor::isLive(former.health)) {
    entry.deadSince = now;
    expireBy(now + deadRetention_);
  }
  noteChange();
}

void MemberTable::startSuspicion(MemberEntry& entry, Time now) {
  entry.askAgainAt = now + suspicionTimeout_ / 2;
  entry.suspectUntil = now + suspicionTimeout_;
  if (entry.status.health == MemberHealth::kSuspect) {
    expireBy(entry.askAgainAt);
  }
}

bool MemberTable::raiseTableVersion(NodeLife life, TableVersion version) {
  const auto found = entries_.find(life.node);
  if (found == entries_.end() || life.node == self_) {
    return false;
  }
  MemberStatus& status = found->second.status;
  if (status.life != life || status.tableVersion >= version) {
    return false;
  }
  status.tableVersion = version;
  noteChange();
  return true;
}

void MemberTable::setSelfDraining(bool draining) {
  MemberStatus& own = mutableSelf().status;
  own.draining = draining;
  ++own.sequence;
  noteChange();
}

void MemberTable::setSelfReachesNoEngine(bool reachesNone) {
  MemberStatus& own = mutableSelf().status;
  own.reachesNoEngine = reachesNone;
  ++own.sequence;
  noteChange();
}

void MemberTable::setSelfLeft() {
  MemberStatus& own = mutableSelf().status;
  ++own.sequence;
  own.health = MemberHealth::kLeft;
  noteChange();
}

void MemberTable::setSelfTableVersion(TableVersion version) {
  MemberStatus& own = mutableSelf().status;
  if (version <= own.tableVersion) {
    return;
  }
  own.tableVersion = version;
  noteChange();
}

bool MemberTable::suspect(NodeLife life, Time now) {
  const auto found = entries_.find(life.node);
  if (found == entries_.end() || life.node == self_) {
    return false;
  }
  MemberEntry& entry = found->second;
  if (entry.status.life != life || entry.status.health != MemberHealth::kAlive) {
    return false;
  }
  MemberStatus status = entry.status;
  status.health = MemberHealth::kSuspect;
  replace(entry, status, now);
  return true;
}

Expiry MemberTable::expire(Time now) {
  Expiry expiry;
  if (now < nextExpiry_) {
    return expiry;
  }
  nextExpiry_ = Time::max();
  for (auto next = entries_.begin(); next != entries_.end();) {
    MemberEntry& entry = next->second;
    if (entry.status.health == MemberHealth::kSuspect) {
      expireSuspect(entry, now, expiry);
    }
    const bool remembered = isLive(entry) || next->first == self_;
    if (remembered) {
      ++next;
    } else if (now < entry.deadSince + deadRetention_) {
      expireBy(entry.deadSince + deadRetention_);
      ++next;
    } else {
      next = entries_.erase(next);
      noteChange();
    }
  }
  return expiry;
}

void MemberTable::expireSuspect(MemberEntry& entry, Time now, Expiry& expiry) {
  if (now >= entry.suspectUntil) {
    MemberStatus status = entry.status;
    status.health = MemberHealth::kDead;
    replace(entry, status, now);
    ++expiry.deaths;
    return;
  }
  if (now >= entry.askAgainAt) {
    entry.askAgainAt = entry.suspectUntil;
    expiry.toAskAgain.push_back(entry.status.life.node);
  }
  expireBy(entry.askAgainAt);
}

void MemberTable::extendSuspicions(Duration extension) {
  for (auto& entry : entries_) {
    entry.second.askAgainAt += extension;
    entry.second.suspectUntil += extension;
  }
}

const MemberEntry* MemberTable::find(NodeId node) const {
  const auto found = entries_.find(node);
  return found == entries_.end() ? nullptr : &found->second;
}

const std::vector<NodeId>& MemberTable::alivePeers() const {
  if (alivePeersAsOf_ == changes_) {
    return alivePeers_;
  }
  alivePeers_.clear();
  for (const auto& entry : entries_) {
    if (entry.first != self_ && entry.second.status.health == MemberHealth::kAlive) {
      alivePeers_.push_back(entry.first);
    }
  }
  alivePeersAsOf_ = changes_;
  return alivePeers_;
}

std::vector<NodeId> MemberTable::randomAlivePeers(size_t count, Random& random) const {
  const std::vector<NodeId>& peers = alivePeers();
  std::vector<NodeId> chosen;
  if (peers.size() <= count) {
    return peers;
  }
  while (chosen.size() < count) {
    const NodeId candidate = peers[random.below(peers.size())];
    if (std::find(chosen.begin(), chosen.end(), candidate) == chosen.end()) {
      chosen.push_back(candidate);
    }
  }
  return chosen;
}

std::vector<NodeId> MemberTable::randomAlivePeersOfZone(const ZoneId& zone, Random& random) const {
  std::vector<NodeId> peers;
  for (const NodeId peer : alivePeers()) {
    if (entries_.at(peer).identity.zone == zone) {
      peers.push_back(peer);
    }
  }
  if (peers.empty()) {
    return peers;
  }
  return {peers[random.below(peers.size())]};
}

bool MemberTable::isMostlySuspect(const ZoneId& zone) const {
  size_t alive = 0;
  size_t suspect = 0;
  for (const auto& entry : entries_) {
    if (entry.second.identity.zone != zone) {
      continue;
    }
    alive += entry.second.status.health == MemberHealth::kAlive ? 1 : 0;
    suspect += entry.second.status.health == MemberHealth::kSuspect ? 1 : 0;
  }
  return suspect >= alive;
}

std::vector<NodeId> MemberTable::shuffledAlivePeers(Random& random) const {
  std::vector<NodeId> peers = alivePeers();
  for (size_t last = peers.size(); last > 1; --last) {
    std::swap(peers[last - 1], peers[random.below(last)]);
  }
  return peers;
}

MemberTable::BucketHashes MemberTable::bucketHashes() const {
  BucketHashes hashes{};
  for (const auto& entry : entries_) {
    if (isLive(entry.second)) {
      hashes.at(bucketOf(entry.first)) ^= hashOf(entry.second.status);
    }
  }
  return hashes;
}

bool MemberTable::makeRoom() {
  if (entries_.size() < maximumMembers_) {
    return true;
  }
  auto oldest = entries_.end();
  for (auto next = entries_.begin(); next != entries_.end(); ++next) {
    if (next->first == self_ || isLive(next->second)) {
      continue;
    }
    if (oldest == entries_.end() || next->second.deadSince < oldest->second.deadSince) {
      oldest = next;
    }
  }
  if (oldest == entries_.end()) {
    return false;
  }
  entries_.erase(oldest);
  return true;
}

void MemberTable::noteChange() {
  ++changes_;
  assert(entries_.count(self_) == 1);
}

}  // namespace fernmoor
