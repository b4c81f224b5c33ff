/// @file
/// Decisions about serving a request by way of another node, for a node that is partitioned from
/// the engines: whether a request goes that way, and to which node. The load they answer: some
/// nodes, at times most of a zone, are partitioned for seconds while their callers keep sending, so
/// the requests of all of them must spread over the nodes that still reach engines.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/random.h"
#include "common/socket_address.h"
#include "gateway/engine_reach.h"

namespace fernmoor::gateway {

/// Another node, as its own statements and the failure detector of the members show it.
struct PeerNode {
  NodeId id;
  SocketAddress callers;  ///< Where it listens for callers' requests.
  std::string zone;
  bool reachesEngines = true;
};

/// Knows the other nodes. Implementations are thread-safe.
class PeerNodes {
 public:
  virtual ~PeerNodes() = default;
  /// @return the other nodes that accept requests: neither suspected nor draining.
  virtual std::vector<PeerNode> others() const = 0;
};

/// Nodes to which one request is handed at most.
inline constexpr size_t kMaxPeersTried = 3;

/// What decides whether a request is handed to another node.
struct PeerQuestion {
  bool cameFromPeer = false;  ///< Another node handed it on: never handed on again, so no loops.
  ReachState reach = ReachState::kReached;
  size_t unreached = 0;  ///< Connections to engines that failed or were not tried for this request.
  size_t peersTried = 0;
};

/// @return whether the request is handed to another node next rather than sent to an engine.
bool goesByPeer(const PeerQuestion& question);

/// Chooses among the nodes that reach engines at random, as all partitioned nodes choose
/// independently. Prefers the own zone, unless most of its nodes do not reach engines: the few left
/// would have to carry the whole zone.
/// @param leftOut nodes that are not chosen.
/// @return std::nullopt if there is none.
std::optional<PeerNode> choosePeer(const std::vector<PeerNode>& others, const std::string& zone,
                                   const std::set<NodeId>& leftOut, Random& random);

}  // namespace fernmoor::gateway
