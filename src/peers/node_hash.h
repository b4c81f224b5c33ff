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

/// The nodes that keep what is known of a key.
struct Keepers {
  NodeId first;
  NodeId second;  ///< The first where it is the only node.
};

/// @param members may be null: nobody else is known.
/// @return the keepers of the key, the same on every node that knows the same members. Suspects
/// keep
///         nothing.
inline Keepers rendezvousKeepers(uint64_t key, NodeId self, const MembershipSnapshot* members) {
  Keepers keepers{self, self};
  uint64_t firstWeight = rendezvousWeight(key, nodeHash(self));
  uint64_t secondWeight = 0;
  if (members == nullptr) {
    return keepers;
  }
  for (const Member& member : members->members) {
    if (member.state == MemberState::kSuspect || member.life.node == self) {
      continue;
    }
    const uint64_t weight = rendezvousWeight(key, nodeHash(member.life.node));
    if (weight > firstWeight) {
      keepers = Keepers{member.life.node, keepers.first};
      secondWeight = firstWeight;
      firstWeight = weight;
    } else if (weight > secondWeight) {
      keepers.second = member.life.node;
      secondWeight = weight;
    }
  }
  return keepers;
}

/// @return the one node that keeps the key.
inline NodeId rendezvousKeeper(uint64_t key, NodeId self, const MembershipSnapshot* members) {
  return rendezvousKeepers(key, self, members).first;
}

}  // namespace fernmoor::peers
