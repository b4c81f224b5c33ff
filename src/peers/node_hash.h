/// @file
/// The hash by which duties are shared out among nodes (see common/rendezvous.h).
#pragma once

#include <cstdint>

#include "common/ids.h"
#include "common/rendezvous.h"
#include "membership/membership_snapshot.h"

namespace fernmoor::peers {

/// @return a hash of the node's id, equal on every node.
inline uint64_t nodeHash(NodeId node) {
  return node.value() * 0x9E3779B97F4A7C15ULL;
}

/// @param members may be null: nobody else is known.
/// @return the node that keeps what is known of the key, the same on every node that knows the same
///         members. Suspects keep nothing.
inline NodeId rendezvousKeeper(uint64_t key, NodeId self, const MembershipSnapshot* members) {
  NodeId best = self;
  uint64_t bestWeight = rendezvousWeight(key, nodeHash(self));
  if (members == nullptr) {
    return best;
  }
  for (const Member& member : members->members) {
    const uint64_t weight = rendezvousWeight(key, nodeHash(member.life.node));
    if (member.state != MemberState::kSuspect && weight > bestWeight) {
      best = member.life.node;
      bestWeight = weight;
    }
  }
  return best;
}

}  // namespace fernmoor::peers
