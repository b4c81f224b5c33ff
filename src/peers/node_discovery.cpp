#include "peers/node_discovery.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "common/rendezvous.h"

namespace fernmoor::peers {

namespace {

/// Mean time that a node gives its seeds to respond before it reads the store.
constexpr Duration kAloneBeforeRead{1000000};
/// Mean interval between reads of a node that knows no other one.
constexpr Duration kAloneReadInterval{700000};
/// Mean interval between reads of a node that reads the store for others.
constexpr Duration kReadInterval{4000000};
/// Time that registered nodes have to respond before a node that knows no other one writes.
constexpr Duration kContactTime{400000};
/// Time between a stamp and the conclusion that no other group reaches the store: its readers see
/// the stamp within 1.5 kReadInterval, and write their own in a second or less.
constexpr Duration kConfirmTime{7500000};
/// Maximum time between two stamps of a node whose place others take again and again.
constexpr Duration kMaxStampInterval{32000000};
/// A group counts as alive for this long after its last sign of life, and its nodes stay registered
/// for this long after they vanished. Vanished members count in limits for as long.
constexpr Duration kSilentNodeMemory{60000000};
/// Minimum time between two writes that only keep the list up to date.
constexpr Duration kListWriteInterval{10000000};
/// Maximum of the pause after a write that met another node's; it doubles with each such write.
constexpr Duration kMaxConflictPause{6400000};
constexpr uint64_t kRegistryKey = 0x7265676973747279;

bool contains(const std::vector<SocketAddress>& addresses, const SocketAddress& address) {
  return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

bool lists(const NodeRegistry& registry, const SocketAddress& address) {
  return std::any_of(registry.nodes.begin(), registry.nodes.end(),
                     [&](const RegisteredNode& node) { return node.address == address; });
}

uint64_t addressHash(const SocketAddress& address) {
  return stableHash(formatSocketAddress(address));
}

}  // namespace

NodeDiscovery::NodeDiscovery(SocketAddress self, const Clock& clock, NodeRegistryStore& store,
                             uint64_t seed)
    : self_(std::move(self)),
      clock_(clock),
      store_(store),
      random_(seed),
      nextReadAt_(clock.now() + random_.between(kAloneBeforeRead / 2, kAloneBeforeRead * 3 / 2)) {}

bool NodeDiscovery::step(const MembershipSnapshot& members, bool followsStore, bool storeAnswers) {
  const Time now = clock_.now();
  noteWhetherAlone(members, now);
  if (!isAlone_ && !followsStore) {
    strangers_.clear();  // Those of the group that read the store contact them.
    isReading_ = false;
    return false;
  }
  if (!isReading_ && !isAlone_) {
    // The table is read first, which shows whether the store answers.
    nextReadAt_ = now + random_.between(kReadInterval / 2, kReadInterval * 3 / 2);
  }
  isReading_ = true;
  const bool isReadDue = storeAnswers && now >= nextReadAt_;
  if (isReadDue || !strangers_.empty()) {
    noteMembers(members);
  }
  if (!isReadDue) {
    return false;
  }
  const Duration interval = isAlone_ ? kAloneReadInterval : kReadInterval;
  nextReadAt_ = now + random_.between(interval / 2, interval * 3 / 2);
  const Result<NodeRegistry> registry = store_.read();
  if (!isOk(registry)) {
    return true;  // Those of an earlier read may respond now.
  }
  firstReadAt_ = firstReadAt_.value_or(now);
  owesResponse_ |= noteRegistry(valueOf(registry), now);
  updateConfirmation(now);
  writeIfDue(valueOf(registry), now);
  return true;
}

void NodeDiscovery::noteWhetherAlone(const MembershipSnapshot& members, Time now) {
  const bool isAlone = members.members.size() <= 1;  // It is a member itself.
  const bool wasAlone = std::exchange(isAlone_, isAlone);
  if (!isAlone) {
    isConfirmed_ = false;
  } else if (!wasAlone) {
    challengedAt_.reset();
    nextReadAt_ = now + kAloneBeforeRead;
  }
}

void NodeDiscovery::noteMembers(const MembershipSnapshot& members) {
  alive_.assign(1, self_);
  present_.assign(1, self_);
  for (const Member& member : members.members) {
    if (member.peerAddress == self_) {
      continue;
    }
    present_.push_back(member.peerAddress);
    if (member.state == MemberState::kAlive) {
      alive_.push_back(member.peerAddress);
    }
  }
  strangers_.erase(
      std::remove_if(strangers_.begin(), strangers_.end(),
                     [this](const SocketAddress& address) { return isMember(address); }),
      strangers_.end());
}

bool NodeDiscovery::noteRegistry(const NodeRegistry& registry, Time now) {
  bool sawSignOfLife = false;
  std::map<std::string, Sighting> sightings;
  strangers_.clear();
  for (const RegisteredNode& node : registry.nodes) {
    if (node.address == self_) {
      continue;
    }
    const std::string address = formatSocketAddress(node.address);
    const auto before = sightings_.find(address);
    const bool isKnown = before != sightings_.end();
    const bool isFirstRead = firstReadAt_ == now;
    const bool hasChanged = isKnown ? before->second.stamp != node.stamp : !isFirstRead;
    Sighting sighting = isKnown ? before->second : Sighting{0, 1, 0, std::nullopt, now};
    sighting.stamp = node.stamp;
    sighting.members = node.members;
    sighting.group = node.group;
    if (hasChanged) {
      sighting.changedAt = now;
    }
    if (hasChanged || isMember(node.address)) {
      sighting.silentSince = now;
    }
    if (!isMember(node.address)) {
      strangers_.push_back(node.address);
      sawSignOfLife |= hasChanged;
    }
    sightings[address] = sighting;
  }
  sightings_ = std::move(sightings);
  return sawSignOfLife;
}

void NodeDiscovery::updateConfirmation(Time now) {
  if (!isAlone_ || !challengedAt_) {
    return;
  }
  const bool isAnswered =
      std::any_of(strangers_.begin(), strangers_.end(), [this](const SocketAddress& stranger) {
        const Sighting& sighting = sightings_.at(formatSocketAddress(stranger));
        return sighting.changedAt && *sighting.changedAt > *challengedAt_;
      });
  if (isAnswered) {
    isConfirmed_ = false;
  } else if (now - *challengedAt_ >= kConfirmTime && !isConfirmed_) {
    isConfirmed_ = true;
    logInfo("discovery: the store shows no other node; limits are granted in full");
  }
}

bool NodeDiscovery::needsChallenge(Time now) const {
  if (!challengedAt_) {
    return isAlone_ || !strangers_.empty();
  }
  return isAlone_ && !isConfirmed_ && now - *challengedAt_ >= kSilentNodeMemory;
}

/// The least address stands for the group.
uint32_t NodeDiscovery::ownGroup() const {
  std::string least = formatSocketAddress(alive_.front());
  for (const SocketAddress& address : alive_) {
    least = std::min(least, formatSocketAddress(address));
  }
  return static_cast<uint32_t>(stableHash(least));
}

void NodeDiscovery::writeIfDue(const NodeRegistry& registry, Time now) {
  const bool awaitsContact = !strangers_.empty() && now - *firstReadAt_ < kContactTime;
  if (awaitsContact) {
    return;
  }
  const bool isRegistered =
      std::any_of(alive_.begin(), alive_.end(),
                  [&](const SocketAddress& address) { return lists(registry, address); });
  if (isRegistered) {
    stampInterval_ = kStampInterval;
  }
  const bool mayStamp = !stampedAt_ || now - *stampedAt_ >= stampInterval_;
  const bool challenges = needsChallenge(now);
  const bool stampsSelf = challenges || (mayStamp && (!isRegistered || owesResponse_));
  const NodeRegistry next = updated(registry, stampsSelf, now);
  const bool isListDue = !writtenAt_ || now - *writtenAt_ >= kListWriteInterval;
  const auto sameAddress = [](const RegisteredNode& a, const RegisteredNode& b) {
    return a.address == b.address;
  };
  const bool hasSameNodes = std::equal(next.nodes.begin(), next.nodes.end(), registry.nodes.begin(),
                                       registry.nodes.end(), sameAddress);
  if (!stampsSelf && (hasSameNodes || !isListDue)) {
    return;
  }
  const Result<Done> written = store_.write(next);
  if (!isOk(written)) {
    if (errorOf(written).kind == ErrorKind::kConflict) {
      nextReadAt_ = now + random_.between(conflictPause_ / 2, conflictPause_ * 3 / 2);
      conflictPause_ = std::min(kMaxConflictPause, conflictPause_ * 2);
    }
    return;
  }
  conflictPause_ = kConflictPause;
  const Time writtenBy = clock_.now();
  writtenAt_ = writtenBy;
  if (stampsSelf) {
    const bool wasReplaced = stampedAt_ && !isRegistered;
    stampInterval_ = wasReplaced ? std::min(kMaxStampInterval, stampInterval_ * 2) : kStampInterval;
    stampedAt_ = writtenBy;
    owesResponse_ = false;
  }
  if (challenges) {
    challengedAt_ = writtenBy;
  }
}

NodeRegistry NodeDiscovery::updated(const NodeRegistry& registry, bool stampsSelf, Time now) const {
  NodeRegistry next;
  next.revision = registry.revision;
  uint64_t newestStamp = 0;
  for (const RegisteredNode& node : registry.nodes) {
    newestStamp = std::max(newestStamp, node.stamp);
    if (!isForgotten(node, now) && !lists(next, node.address)) {
      next.nodes.push_back(node);
    }
  }
  if (stampsSelf && !lists(next, self_)) {
    next.nodes.push_back(RegisteredNode{self_});
  }
  for (const SocketAddress& address :
       rendezvousTop(kRegistryKey, alive_, kMaxRegistered, addressHash)) {
    if (next.nodes.size() < kMaxRegistered && !lists(next, address)) {
      next.nodes.push_back(RegisteredNode{address});
    }
  }
  for (RegisteredNode& node : next.nodes) {
    if (contains(alive_, node.address)) {
      node.members = alive_.size();
      node.group = ownGroup();
    }
    if (stampsSelf && node.address == self_) {
      node.stamp = newestStamp + 1;
    }
  }
  const auto stampedBefore = [](const RegisteredNode& a, const RegisteredNode& b) {
    return a.stamp < b.stamp;
  };
  while (next.nodes.size() > kMaxRegistered) {
    // This node, which may have been added last, takes the place of the one with the oldest stamp.
    next.nodes.erase(std::min_element(next.nodes.begin(), next.nodes.end() - 1, stampedBefore));
  }
  return next;
}

bool NodeDiscovery::isMember(const SocketAddress& address) const {
  return contains(present_, address);
}

bool NodeDiscovery::isForgotten(const RegisteredNode& node, Time now) const {
  const auto sighting = sightings_.find(formatSocketAddress(node.address));
  return node.address != self_ && sighting != sightings_.end() &&
         now - sighting->second.silentSince >= kSilentNodeMemory;
}

size_t NodeDiscovery::unknownNodes() const {
  const Time now = clock_.now();
  std::map<uint32_t, size_t> groups;
  for (const SocketAddress& stranger : strangers_) {
    const Sighting& sighting = sightings_.at(formatSocketAddress(stranger));
    if (sighting.changedAt && now - *sighting.changedAt < kSilentNodeMemory) {
      size_t& members = groups[sighting.group];
      members = std::max({size_t{1}, members, sighting.members});
    }
  }
  size_t unknown = 0;
  for (const auto& group : groups) {
    unknown += group.second;
  }
  return std::max<size_t>(unknown, isAlone_ && !isConfirmed_ ? 1 : 0);
}

}  // namespace fernmoor::peers
