#include "sim/simulated_network.h"

#include <cassert>
#include <deque>
#include <utility>

namespace fernmoor::sim {

namespace {

constexpr Latency kUnsetLatency{Duration(-1), Duration(-1)};

NodeLife lifeOf(const proto::Envelope& envelope) {
  return NodeLife{NodeId(envelope.sender().node_id()),
                  Incarnation(envelope.sender().incarnation())};
}

void count(TrafficCount& total, TrafficCount& ofCase, size_t bytes) {
  ++total.messages;
  total.bytes += bytes;
  ++ofCase.messages;
  ofCase.bytes += bytes;
}

}  // namespace

/// One node's access to the network.
struct SimulatedNetwork::Endpoint : public MessageSender {
  Endpoint(SimulatedNetwork& owner, Placement where, uint32_t zoneNumber, Handler takes)
      : network(owner), placement(std::move(where)), zone(zoneNumber), handler(std::move(takes)) {}

  void send(NodeId to, const proto::Envelope& envelope) override {
    network.send(*this, to, envelope);
  }

  SimulatedNetwork& network;
  Placement placement;
  uint32_t zone;
  Handler handler;
  Incarnation incarnation;
  bool down = false;
  bool frozen = false;
  std::deque<Message> waiting;
  NodeTraffic traffic;
};

SimulatedNetwork::SimulatedNetwork(EventQueue& queue, NetworkSettings settings, uint64_t seed)
    : queue_(queue), settings_(settings), random_(seed) {}

SimulatedNetwork::~SimulatedNetwork() = default;

void SimulatedNetwork::addNode(const Placement& placement, Handler handler) {
  assert(endpoints_.count(placement.node) == 0);
  const uint32_t zone = zoneIndex(placement.zone, placement.region);
  endpoints_[placement.node] =
      std::make_unique<Endpoint>(*this, placement, zone, std::move(handler));
}

void SimulatedNetwork::setLife(NodeLife life) {
  endpoints_.at(life.node)->incarnation = life.incarnation;
}

MessageSender& SimulatedNetwork::senderOf(NodeId node) {
  return *endpoints_.at(node);
}

void SimulatedNetwork::setDown(NodeId node, bool down) {
  Endpoint& endpoint = *endpoints_.at(node);
  endpoint.down = down;
  if (down) {
    endpoint.frozen = false;
    endpoint.waiting.clear();
  }
}

void SimulatedNetwork::setFrozen(NodeId node, bool frozen) {
  Endpoint& endpoint = *endpoints_.at(node);
  endpoint.frozen = frozen;
  if (frozen) {
    return;
  }
  for (Message& message : endpoint.waiting) {
    queue_.schedule(queue_.now(), [this, &endpoint, message = std::move(message)] {
      deliver(endpoint, message);
    });
  }
  endpoint.waiting.clear();
}

void SimulatedNetwork::setLatency(const ZoneId& a, const ZoneId& b, Latency latency) {
  const uint32_t first = knownZoneIndex(a);
  const uint32_t second = knownZoneIndex(b);
  latency_[first][second] = latency;
  latency_[second][first] = latency;
}

void SimulatedNetwork::cutZones(const ZoneId& from, const ZoneId& to) {
  zoneCut_[knownZoneIndex(from)][knownZoneIndex(to)] = true;
}

void SimulatedNetwork::healZones(const ZoneId& from, const ZoneId& to) {
  zoneCut_[knownZoneIndex(from)][knownZoneIndex(to)] = false;
}

void SimulatedNetwork::cutNodes(NodeId from, NodeId to) {
  nodeCuts_.insert(NodePair{from, to});
}

void SimulatedNetwork::healNodes(NodeId from, NodeId to) {
  nodeCuts_.erase(NodePair{from, to});
}

void SimulatedNetwork::isolateZone(const ZoneId& zone) {
  for (const Zone& other : zones_) {
    if (other.id != zone) {
      cutZones(zone, other.id);
      cutZones(other.id, zone);
    }
  }
}

void SimulatedNetwork::isolateRegion(const RegionId& region) {
  for (const Zone& inside : zones_) {
    for (const Zone& outside : zones_) {
      if (inside.region == region && outside.region != region) {
        cutZones(inside.id, outside.id);
        cutZones(outside.id, inside.id);
      }
    }
  }
}

void SimulatedNetwork::healAll() {
  nodeCuts_.clear();
  for (auto& row : zoneCut_) {
    row.assign(row.size(), false);
  }
}

const NodeTraffic& SimulatedNetwork::trafficOf(NodeId node) const {
  return endpoints_.at(node)->traffic;
}

void SimulatedNetwork::resetTraffic() {
  for (auto& entry : endpoints_) {
    entry.second->traffic = NodeTraffic{};
  }
}

SimulatedNetwork::Endpoint* SimulatedNetwork::find(NodeId node) {
  const auto found = endpoints_.find(node);
  return found == endpoints_.end() ? nullptr : found->second.get();
}

uint32_t SimulatedNetwork::zoneIndex(const ZoneId& zone, const RegionId& region) {
  for (uint32_t index = 0; index < zones_.size(); ++index) {
    if (zones_[index].id == zone) {
      assert(zones_[index].region == region);
      return index;
    }
  }
  zones_.push_back(Zone{zone, region});
  resizeZoneMatrices();
  return static_cast<uint32_t>(zones_.size() - 1);
}

uint32_t SimulatedNetwork::knownZoneIndex(const ZoneId& zone) {
  for (uint32_t index = 0; index < zones_.size(); ++index) {
    if (zones_[index].id == zone) {
      return index;
    }
  }
  assert(false && "no node was added in this zone");
  return 0;
}

void SimulatedNetwork::resizeZoneMatrices() {
  zoneCut_.resize(zones_.size());
  latency_.resize(zones_.size());
  for (size_t index = 0; index < zones_.size(); ++index) {
    zoneCut_[index].resize(zones_.size(), false);
    latency_[index].resize(zones_.size(), kUnsetLatency);
  }
}

void SimulatedNetwork::send(Endpoint& from, NodeId to, const proto::Envelope& envelope) {
  if (from.down) {
    return;
  }
  auto message = std::make_shared<proto::Envelope>(envelope);
  message->mutable_sender()->set_node_id(from.placement.node.value());
  message->mutable_sender()->set_incarnation(from.incarnation.value());
  if (settings_.throughCodec) {
    const std::string encoded = message->SerializeAsString();
    message->Clear();
    [[maybe_unused]] const bool parsed = message->ParseFromString(encoded);
    assert(parsed);
  }
  const size_t bytes = message->ByteSizeLong() + kOverheadBytes;
  count(from.traffic.sent, from.traffic.sentByCase.at(message->body_case()), bytes);
  Endpoint* const receiver = find(to);
  if (receiver == nullptr || random_.chance(settings_.lossRate)) {
    return;
  }
  scheduleDelivery(from, *receiver, message, bytes);
  if (random_.chance(settings_.duplicateRate)) {
    scheduleDelivery(from, *receiver, message, bytes);
  }
}

void SimulatedNetwork::scheduleDelivery(const Endpoint& from, Endpoint& to, const Message& message,
                                        size_t bytes) {
  const Latency latency = latencyBetween(from, to);
  Duration delay = random_.between(latency.low, latency.high);
  if (random_.chance(settings_.reorderRate)) {
    delay += random_.between(Duration::zero(), settings_.reorderDelay);
  }
  queue_.scheduleAfter(delay,
                       [this, &from, &to, message, bytes] { arrive(from, to, message, bytes); });
}

void SimulatedNetwork::arrive(const Endpoint& from, Endpoint& to, const Message& message,
                              size_t bytes) {
  if (to.down || isCut(from, to)) {
    return;
  }
  count(to.traffic.received, to.traffic.receivedByCase.at(message->body_case()), bytes);
  if (!to.frozen) {
    deliver(to, message);
    return;
  }
  if (to.waiting.size() < settings_.frozenQueueLimit) {
    to.waiting.push_back(message);
  }
}

void SimulatedNetwork::deliver(Endpoint& to, const Message& message) {
  if (to.down) {
    return;
  }
  if (to.frozen) {
    to.waiting.push_back(message);
    return;
  }
  to.handler(lifeOf(*message), *message);
}

bool SimulatedNetwork::isCut(const Endpoint& from, const Endpoint& to) const {
  if (zoneCut_[from.zone][to.zone]) {
    return true;
  }
  return !nodeCuts_.empty() &&
         nodeCuts_.count(NodePair{from.placement.node, to.placement.node}) != 0;
}

Latency SimulatedNetwork::latencyBetween(const Endpoint& from, const Endpoint& to) const {
  const Latency chosen = latency_[from.zone][to.zone];
  if (chosen.low >= Duration::zero()) {
    return chosen;
  }
  if (from.zone == to.zone) {
    return settings_.withinZone;
  }
  return zones_[from.zone].region == zones_[to.zone].region ? settings_.betweenZones
                                                            : settings_.betweenRegions;
}

}  // namespace fernmoor::sim
