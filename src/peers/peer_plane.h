/// @file
/// Owns the threads and sockets for messages between nodes, and dispatches the messages to
/// membership, state replication, the directories of cached parts and engine loads, rate limits,
/// and the quarantine of requests that crash engines.
#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "backends/backend_set.h"
#include "common/knobs.h"
#include "common/message_sender.h"
#include "common/metrics.h"
#include "gateway/peer_choice.h"
#include "gateway/retry_budgets.h"
#include "membership/membership_role.h"
#include "peers/limit_directory.h"
#include "peers/load_directory.h"
#include "peers/mirror_role.h"
#include "peers/part_directory.h"
#include "peers/quarantine_directory.h"
#include "peers/stream_directory.h"
#include "wire/peer_transport.h"

namespace fernmoor::peers {

struct PeerOptions {
  SocketAddress listen;   ///< Address of this node for other nodes, UDP and TCP.
  SocketAddress callers;  ///< Address of this node for callers' requests.
  ZoneId zone;
  RegionId region;
  std::vector<SocketAddress> seeds;  ///< Nodes to contact when joining; some may be down.
  std::string clusterKey;            ///< Shared by all nodes of the deployment.
  uint64_t randomSeed = 0;
  uint32_t linkMegabits = 0;  ///< Bandwidth of this node's own link in Mbit/s; 0: unknown.
  Knobs knobs;
};

/// @return the id of the node at an address: its IPv4 address as a number; 0 if it is not IPv4.
NodeId nodeIdOf(const SocketAddress& address);

/// Thread-safe.
class PeerPlane : public MessageSender, public gateway::PeerNodes {
 public:
  /// Binds the address. Throws Poco::Net::NetException if it is in use.
  PeerPlane(PeerOptions options, const Clock& clock, StateMirror& mirror, DesiredWeights& wanted,
            RevisionTimes& revisionTimes, quarantine::QuarantineTable& quarantined,
            BackendSet& backends);
  ~PeerPlane() override;

  void start();
  /// Notifies the other nodes that this one leaves, and joins the threads. Idempotent.
  void stop();
  void setDraining();
  void setReachesNoEngine(bool reachesNone);
  /// Replaces the seeds, when the settings have changed.
  void setSeeds(const std::vector<SocketAddress>& seeds);
  /// Replaces the nodes that the registry names and that are no members, and contacts them.
  void setRegistered(const std::vector<SocketAddress>& nodes);
  /// Sets how many live nodes may exist beside the members; what is bounded for all nodes together
  /// is shared with them.
  void setUnknownNodes(size_t count);
  /// @return the members as this node sees them; null while its membership restarts.
  std::shared_ptr<const MembershipSnapshot> members() const;

  MirrorRole& mirror() { return mirrorRole_; }
  PartDirectory& parts() { return parts_; }
  LoadDirectory& loads() { return loads_; }
  LimitDirectory& limits() { return limits_; }
  QuarantineDirectory& quarantine() { return quarantine_; }
  StreamDirectory& streams() { return streams_; }
  /// @return the other nodes that are neither suspected nor draining and say where they listen for
  ///         callers.
  std::vector<gateway::PeerNode> others() const override;
  MemberCounts memberCounts() const;
  /// @return the nodes that share what is bounded for all nodes together. Seeds that this node has
  ///         not met since its start count as cut off for as long as vanished nodes are remembered.
  gateway::KnownNodes knownNodes() const;
  /// Bytes exchanged with other nodes in this incarnation, including the overhead of the wire
  /// format.
  uint64_t bytesSent() const;
  uint64_t bytesReceived() const;

  void send(NodeId to, const proto::Envelope& envelope) override;
  size_t waitingBytes(NodeId to) const override;
  size_t waitingBytes() const override;

 private:
  /// State of one incarnation of this node.
  struct IncarnationState {
    std::unique_ptr<MembershipRole> membership;
    std::unique_ptr<PeerTransport> transport;
  };

  std::shared_ptr<IncarnationState> makeIncarnation(uint64_t incarnation);
  std::shared_ptr<IncarnationState> currentIncarnation() const;
  std::vector<SocketAddress> seeds() const;
  void deliver(NodeLife from, const proto::Envelope& envelope);
  void run();
  void tick();

  PeerOptions options_;
  const Clock& clock_;
  const Time startedAt_;
  MirrorRole mirrorRole_;
  PartDirectory parts_;
  LoadDirectory loads_;
  LimitDirectory limits_;
  QuarantineDirectory quarantine_;
  StreamDirectory streams_;
  mutable std::mutex mutex_;
  std::vector<SocketAddress> seeds_;  ///< Of the newest settings.
  std::shared_ptr<IncarnationState> incarnation_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> draining_{false};
  std::atomic<bool> reachesNoEngine_{false};
  std::thread thread_;
};

}  // namespace fernmoor::peers
