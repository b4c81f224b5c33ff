#include "gateway/peer_choice.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// Least share of the own zone's nodes that must reach engines for the zone to be preferred.
constexpr double kMinZoneShare = 0.5;

}  // namespace

bool goesByPeer(const PeerQuestion& question) {
  if (question.cameFromPeer || question.peersTried >= kMaxPeersTried) {
    return false;
  }
  switch (question.reach) {
    case ReachState::kReached:
      return false;
    case ReachState::kNoNewConnections:
      return question.unreached > 0;  // An established connection may still serve it.
    case ReachState::kPartitioned:
      return true;
  }
  return false;
}

std::optional<PeerNode> choosePeer(const std::vector<PeerNode>& others, const std::string& zone,
                                   const std::set<NodeId>& leftOut, Random& random) {
  std::vector<const PeerNode*> everywhere;
  std::vector<const PeerNode*> nearby;
  size_t zoneNodes = 0;
  for (const PeerNode& each : others) {
    zoneNodes += each.zone == zone ? 1 : 0;
    if (!each.reachesEngines || leftOut.count(each.id) > 0) {
      continue;
    }
    everywhere.push_back(&each);
    if (each.zone == zone) {
      nearby.push_back(&each);
    }
  }
  const bool prefersZone = !nearby.empty() && static_cast<double>(nearby.size()) >=
                                                  kMinZoneShare * static_cast<double>(zoneNodes);
  const std::vector<const PeerNode*>& candidates = prefersZone ? nearby : everywhere;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return *candidates[random.below(candidates.size())];
}

}  // namespace fernmoor::gateway
