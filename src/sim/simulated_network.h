/// @file
/// An in-memory network of nodes in zones and regions, with the faults of a real one. All chance
/// comes from one seed.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/message_sender.h"
#include "common/random.h"
#include "common/role.h"
#include "sim/event_queue.h"

namespace fernmoor::sim {

/// One-way delay, drawn evenly from the range.
struct Latency {
  Duration low;
  Duration high;
};

/// How the network behaves where nothing else was said.
struct NetworkSettings {
  Latency withinZone{Duration(80), Duration(150)};
  Latency betweenZones{Duration(1100), Duration(1500)};
  Latency betweenRegions{Duration(20000), Duration(22000)};
  double lossRate = 0;       ///< Share of messages that vanish.
  double duplicateRate = 0;  ///< Share of messages that arrive twice.
  double reorderRate = 0;    ///< Share of messages held back by up to reorderDelay.
  Duration reorderDelay = std::chrono::milliseconds(50);
  /// Messages kept for a frozen node, as a socket's receive buffer would; later ones vanish.
  size_t frozenQueueLimit = 1000;
  /// Serializes and parses each message as the daemon does, for measurements of processor time.
  bool throughCodec = false;
};

/// Where a node stands.
struct Placement {
  NodeId node;
  ZoneId zone;
  RegionId region;
};

/// Messages and their bytes (serialized envelope plus kOverheadBytes each).
struct TrafficCount {
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

/// Traffic of one node, in all and by body case of the envelope.
struct NodeTraffic {
  /// Field numbers of the envelope's body lie below this.
  static constexpr size_t kBodyCases = 32;
  TrafficCount sent;
  TrafficCount received;
  std::array<TrafficCount, kBodyCases> sentByCase{};
  std::array<TrafficCount, kBodyCases> receivedByCase{};
};

/// Delivers envelopes between nodes on the event queue. Not thread-safe.
class SimulatedNetwork {
 public:
  /// Bytes beyond the serialized envelope: IPv4 and UDP headers (28), HMAC tag (16), and the field
  /// headers of proto::SealedEnvelope (5).
  static constexpr size_t kOverheadBytes = 49;

  using Handler = std::function<void(NodeLife from, const proto::Envelope& envelope)>;

  /// @param queue outlives the network.
  SimulatedNetwork(EventQueue& queue, NetworkSettings settings, uint64_t seed);
  ~SimulatedNetwork();
  SimulatedNetwork(const SimulatedNetwork&) = delete;
  SimulatedNetwork& operator=(const SimulatedNetwork&) = delete;

  /// Adds a node, reachable from now on. Its id must be new.
  void addNode(const Placement& placement, Handler handler);
  /// Sets the life that the node's messages bear from now on, as the transport would.
  void setLife(NodeLife life);
  /// @return the node's endpoint; valid as long as the network.
  MessageSender& senderOf(NodeId node);

  /// A node that is down neither sends nor receives; messages that arrive meanwhile are lost.
  void setDown(NodeId node, bool down);
  /// Messages for a frozen node wait and arrive, in order, when it thaws.
  void setFrozen(NodeId node, bool frozen);

  /// Replaces the settings, e.g. to change the loss; messages under way are not touched.
  void setSettings(const NetworkSettings& settings) { settings_ = settings; }
  const NetworkSettings& settings() const { return settings_; }
  /// Sets the delay between two zones, both ways.
  void setLatency(const ZoneId& a, const ZoneId& b, Latency latency);

  /// Cuts one direction; messages that arrive while it is cut are lost.
  void cutZones(const ZoneId& from, const ZoneId& to);
  void healZones(const ZoneId& from, const ZoneId& to);
  void cutNodes(NodeId from, NodeId to);
  void healNodes(NodeId from, NodeId to);
  /// Cuts a zone off from all other zones, both ways.
  void isolateZone(const ZoneId& zone);
  /// Cuts a region off from all other regions, both ways.
  void isolateRegion(const RegionId& region);
  /// Mends every cut.
  void healAll();

  /// @return what the node sent and received since the start or the last resetTraffic().
  const NodeTraffic& trafficOf(NodeId node) const;
  void resetTraffic();

 private:
  struct Endpoint;
  using Message = std::shared_ptr<const proto::Envelope>;

  Endpoint* find(NodeId node);
  uint32_t zoneIndex(const ZoneId& zone, const RegionId& region);
  uint32_t knownZoneIndex(const ZoneId& zone);
  void send(Endpoint& from, NodeId to, const proto::Envelope& envelope);
  void scheduleDelivery(const Endpoint& from, Endpoint& to, const Message& message, size_t bytes);
  void arrive(const Endpoint& from, Endpoint& to, const Message& message, size_t bytes);
  void deliver(Endpoint& to, const Message& message);
  bool isCut(const Endpoint& from, const Endpoint& to) const;
  Latency latencyBetween(const Endpoint& from, const Endpoint& to) const;
  void resizeZoneMatrices();

  struct Zone {
    ZoneId id;
    RegionId region;
  };
  struct NodePair {
    NodeId from;
    NodeId to;
    friend bool operator<(const NodePair& a, const NodePair& b) {
      return a.from != b.from ? a.from < b.from : a.to < b.to;
    }
  };

  EventQueue& queue_;
  NetworkSettings settings_;
  Random random_;
  std::unordered_map<NodeId, std::unique_ptr<Endpoint>> endpoints_;
  std::vector<Zone> zones_;
  std::vector<std::vector<bool>> zoneCut_;     ///< By index of the zones, from and to.
  std::vector<std::vector<Latency>> latency_;  ///< Likewise; a negative one means the default.
  std::set<NodePair> nodeCuts_;
};

}  // namespace fernmoor::sim
