/// @file
/// The path of requests by way of other nodes: the nodes themselves, those that lately could not be
/// reached or did not take a request, and the connections to them.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "common/time.h"
#include "gateway/backend_protocol.h"
#include "gateway/connection_pool.h"
#include "gateway/peer_choice.h"

namespace fernmoor::gateway {

/// Thread-safe.
class PeerPath {
 public:
  /// @param protocol how requests are handed to another node.
  /// @param zone zone of this node.
  PeerPath(const PeerNodes& nodes, const BackendProtocol& protocol, const ConnectOptions& options,
           std::string zone, uint64_t randomSeed)
      : nodes_(nodes),
        protocol_(protocol),
        connections_(options, 0),
        zone_(std::move(zone)),
        random_(randomSeed) {}

  /// @param tried nodes that the request was handed to before.
  /// @return the node to hand the request to; std::nullopt if none is left.
  std::optional<PeerNode> choose(const std::set<NodeId>& tried, Time now);
  /// Avoids a node that was not reached or did not take a request.
  void avoid(NodeId node, Time now);

  const BackendProtocol& protocol() const { return protocol_; }
  /// Connections to other nodes are not kept: a kept one could be closed by its node just as a
  /// request is sent on it, which leaves open whether the request ran.
  ConnectionPool& connections() { return connections_; }

 private:
  const PeerNodes& nodes_;
  const BackendProtocol& protocol_;
  ConnectionPool connections_;
  const std::string zone_;
  std::mutex mutex_;
  std::map<NodeId, Time> avoidedUntil_;
  Random random_;
};

}  // namespace fernmoor::gateway
