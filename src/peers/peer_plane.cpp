#include "peers/peer_plane.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>

#include "common/log.h"
#include "membership/member_counts.h"

namespace fernmoor::peers {

namespace {

constexpr Duration kTickInterval{100000};
/// Delay before binding the address of the previous incarnation is retried.
constexpr Duration kRebindDelay{100000};

std::vector<NodeId> nodeIdsOf(const std::vector<SocketAddress>& addresses) {
  std::vector<NodeId> ids;
  ids.reserve(addresses.size());
  for (const SocketAddress& address : addresses) {
    ids.push_back(nodeIdOf(address));
  }
  return ids;
}

std::vector<Seed> seedsOf(const std::vector<SocketAddress>& addresses) {
  std::vector<Seed> seeds;
  seeds.reserve(addresses.size());
  for (const SocketAddress& address : addresses) {
    seeds.push_back(Seed{nodeIdOf(address), address});
  }
  return seeds;
}

}  // namespace

NodeId nodeIdOf(const SocketAddress& address) {
  Poco::Net::IPAddress ip;
  if (!Poco::Net::IPAddress::tryParse(address.host, ip) ||
      ip.family() != Poco::Net::IPAddress::IPv4) {
    return NodeId(0);
  }
  uint32_t number = 0;
  for (size_t byte = 0; byte < sizeof(number); ++byte) {
    number = number << 8U | static_cast<const unsigned char*>(ip.addr())[byte];
  }
  return NodeId(number);
}

PeerPlane::PeerPlane(PeerOptions options, const Clock& clock, StateMirror& mirror,
                     DesiredWeights& wanted, RevisionTimes& revisionTimes,
                     quarantine::QuarantineTable& quarantined, BackendSet& backends)
    : options_(std::move(options)),
      clock_(clock),
      startedAt_(clock.now()),
      mirrorRole_(nodeIdOf(options_.listen), mirror, wanted, revisionTimes, clock.now()),
      parts_(nodeIdOf(options_.listen), clock, *this),
      loads_(nodeIdOf(options_.listen), clock, *this, &backends),
      limits_(nodeIdOf(options_.listen), clock, *this, options_.knobs),
      quarantine_(nodeIdOf(options_.listen), clock, *this, quarantined),
      streams_(nodeIdOf(options_.listen), clock, *this),
      seeds_(options_.seeds),
      incarnation_(makeIncarnation(static_cast<uint64_t>(clock.wallMicroseconds()))) {}

PeerPlane::~PeerPlane() {
  stop();
}

std::shared_ptr<PeerPlane::IncarnationState> PeerPlane::makeIncarnation(uint64_t incarnation) {
  auto made = std::make_shared<IncarnationState>();
  MembershipSettings settings;
  settings.self.life = NodeLife{nodeIdOf(options_.listen), Incarnation(incarnation)};
  settings.self.zone = options_.zone;
  settings.self.region = options_.region;
  settings.self.peerAddress = options_.listen;
  settings.self.httpAddress = options_.callers;
  settings.self.linkMegabits = options_.linkMegabits;
  settings.seeds = seedsOf(seeds());
  settings.knobs = options_.knobs;
  settings.randomSeed = options_.randomSeed ^ incarnation;
  made->membership = std::make_unique<MembershipRole>(settings);
  MembershipRole* membership = made->membership.get();
  made->transport = std::make_unique<PeerTransport>(
      options_.listen, settings.self.life, options_.clusterKey, options_.knobs,
      [membership](NodeId node) { return membership->snapshot()->addressOf(node); });
  return made;
}

std::shared_ptr<PeerPlane::IncarnationState> PeerPlane::currentIncarnation() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return incarnation_;
}

void PeerPlane::deliver(NodeLife from, const proto::Envelope& envelope) {
  const Time now = clock_.now();
  const std::shared_ptr<IncarnationState> current = currentIncarnation();
  if (current == nullptr) {
    return;
  }
  if (envelope.has_membership()) {
    current->membership->onMessage(from, envelope, now, *current->transport);
  } else if (envelope.has_mirror()) {
    mirrorRole_.onMessage(from, envelope, now, *current->transport);
  } else if (envelope.has_part()) {
    parts_.onMessage(from, envelope, now, *current->transport);
  } else if (envelope.has_load()) {
    loads_.onMessage(from, envelope, now, *current->transport);
  } else if (envelope.has_limit()) {
    limits_.onMessage(from, envelope, now, *current->transport);
  } else if (envelope.has_quarantine()) {
    quarantine_.onMessage(from, envelope, now, *current->transport);
  } else if (envelope.has_stream_binding()) {
    streams_.onMessage(from, envelope, now, *current->transport);
  }
}

void PeerPlane::start() {
  currentIncarnation()->transport->start(
      [this](NodeLife from, const proto::Envelope& envelope) { deliver(from, envelope); });
  thread_ = std::thread([this] { run(); });
}

void PeerPlane::stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
  if (const std::shared_ptr<IncarnationState> current = currentIncarnation()) {
    current->membership->leave(*current->transport);
    current->transport->stop();
  }
}

void PeerPlane::setDraining() {
  draining_ = true;
}

void PeerPlane::setReachesNoEngine(bool reachesNone) {
  reachesNoEngine_ = reachesNone;
}

std::vector<SocketAddress> PeerPlane::seeds() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return seeds_;
}

void PeerPlane::setSeeds(const std::vector<SocketAddress>& seeds) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    seeds_ = seeds;
  }
  if (const std::shared_ptr<IncarnationState> current = currentIncarnation()) {
    current->membership->replaceSeeds(seedsOf(seeds));
  }
}

void PeerPlane::setRegistered(const std::vector<SocketAddress>& nodes) {
  if (const std::shared_ptr<IncarnationState> current = currentIncarnation()) {
    current->membership->setRegistered(seedsOf(nodes));
  }
}

void PeerPlane::setUnknownNodes(size_t count) {
  limits_.setUnknownNodes(count);
}

std::shared_ptr<const MembershipSnapshot> PeerPlane::members() const {
  const std::shared_ptr<IncarnationState> current = currentIncarnation();
  return current == nullptr ? nullptr : current->membership->snapshot();
}

gateway::KnownNodes PeerPlane::knownNodes() const {
  gateway::KnownNodes known;
  known.count = limits_.knownNodes();
  if (clock_.now() < startedAt_ + options_.knobs.limitAbsentMemory) {
    const std::vector<NodeId> seeds = nodeIdsOf(this->seeds());
    known.seeds = seeds.size();
    known.knownSeeds = limits_.knownAmong(seeds);
  }
  return known;
}

std::vector<gateway::PeerNode> PeerPlane::others() const {
  std::vector<gateway::PeerNode> nodes;
  const std::shared_ptr<IncarnationState> current = currentIncarnation();
  if (current == nullptr) {
    return nodes;
  }
  const std::shared_ptr<const MembershipSnapshot> members = current->membership->snapshot();
  for (const Member& member : members->members) {
    const bool isOther = member.life.node != members->self.node;
    const bool listens =
        member.httpAddress.port != 0 && !(member.httpAddress == member.peerAddress);
    if (isOther && listens && member.state == MemberState::kAlive) {
      nodes.push_back(gateway::PeerNode{member.life.node, member.httpAddress, member.zone.value(),
                                        !member.reachesNoEngine});
    }
  }
  return nodes;
}

uint64_t PeerPlane::bytesSent() const {
  const std::shared_ptr<IncarnationState> current = currentIncarnation();
  return current == nullptr ? 0 : current->transport->counters().bytesSent.load();
}

uint64_t PeerPlane::bytesReceived() const {
  const std::shared_ptr<IncarnationState> current = currentIncarnation();
  return current == nullptr ? 0 : current->transport->counters().bytesReceived.load();
}

MemberCounts PeerPlane::memberCounts() const {
  const std::shared_ptr<IncarnationState> current = currentIncarnation();
  return current == nullptr ? MemberCounts{} : countMembers(*current->membership->snapshot());
}

void PeerPlane::send(NodeId to, const proto::Envelope& envelope) {
  if (const std::shared_ptr<IncarnationState> current = currentIncarnation()) {
    current->transport->send(to, envelope);
  }
}

size_t PeerPlane::waitingBytes(NodeId to) const {
  const std::shared_ptr<IncarnationState> current = currentIncarnation();
  return current == nullptr ? 0 : current->transport->waitingBytes(to);
}

size_t PeerPlane::waitingBytes() const {
  const std::shared_ptr<IncarnationState> current = currentIncarnation();
  return current == nullptr ? 0 : current->transport->waitingBytes();
}

void PeerPlane::tick() {
  const std::shared_ptr<IncarnationState> current = currentIncarnation();
  const Time now = clock_.now();
  if (draining_) {
    current->membership->setDraining(true);
  }
  current->membership->setReachesNoEngine(reachesNoEngine_);
  current->membership->onTick(now, *current->transport);
  const auto snapshot = current->membership->snapshot();
  mirrorRole_.setMembers(snapshot);
  parts_.setMembers(snapshot);
  loads_.setMembers(snapshot);
  limits_.setMembers(snapshot);
  limits_.onTick(now, *current->transport);
  loads_.setReachableShare(limits_.reachableShare());
  loads_.onTick(now, *current->transport);
  quarantine_.setMembers(snapshot);
  quarantine_.onTick(now, *current->transport);
  streams_.setMembers(snapshot);
  streams_.onTick(now, *current->transport);
  mirrorRole_.onTick(now, *current->transport);
  const std::optional<Incarnation> newerIncarnation = current->membership->supersededBy();
  if (!newerIncarnation) {
    return;
  }
  // This node's clock went back between two incarnations: switch to a greater one.
  logWarning(
      "peers: a later life of this node is remembered; restarting membership with a greater "
      "incarnation");
  current->transport->stop();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    incarnation_.reset();
  }
  const uint64_t incarnation = newerIncarnation->value() + 1;
  while (!stopping_) {
    try {
      const std::shared_ptr<IncarnationState> next = makeIncarnation(incarnation);
      next->transport->start(
          [this](NodeLife from, const proto::Envelope& envelope) { deliver(from, envelope); });
      const std::lock_guard<std::mutex> lock(mutex_);
      incarnation_ = next;
      return;
    } catch (const Poco::Exception&) {
      std::this_thread::sleep_for(kRebindDelay);
    }
  }
}

void PeerPlane::run() {
  while (!stopping_) {
    tick();
    std::this_thread::sleep_for(kTickInterval);
  }
}

}  // namespace fernmoor::peers
