/// @file
/// Rendezvous hashing of keys to the nodes that own them (see common/rendezvous.h).
#pragma once

#include <cstdint>

#include "common/ids.h"
#include "common/rendezvous.h"
#include "membership/membership_snapshot.h"

namespace fernmoor::peers {

/// @return a hash of the node's id, the same on every node.
inline uint64_t nodeHash(NodeId node) {
  return node.value() * 0x9E3779B97F4A7C15ULL;
}

/// The nodes that own a key, that is, store the data about it.
struct KeyOwners {
  NodeId primary;
  NodeId secondary;  ///< Same as `primary` if there is no other node.
};

/// @param members may be null if no other node is known.
/// @return the owners of the key, the same on every node that has the same members. Suspected
///         nodes own nothing.
inline KeyOwners rendezvousOwners(uint64_t key, NodeId self, const MembershipSnapshot* members) {
  KeyOwners owners{self, self};
  uint64_t primaryWeight = rendezvousWeight(key, nodeHash(self));
  uint64_t secondaryWeight = 0;
  if (members == nullptr) {
    return owners;
  }
  for (const Member& member : members->members) {
    if (member.state == MemberState::kSuspect || member.life.node == self) {
      continue;
    }
    const uint64_t weight = rendezvousWeight(key, nodeHash(member.life.node));
    if (weight > primaryWeight) {
      owners = KeyOwners{member.life.node, owners.primary};
      secondaryWeight = primaryWeight;
      primaryWeight = weight;
    } else if (weight > secondaryWeight) {
      owners.secondary = member.life.node;
      secondaryWeight = weight;
    }
  }
  return owners;
}

/// @return the primary owner of the key.
inline NodeId rendezvousOwner(uint64_t key, NodeId self, const MembershipSnapshot* members) {
  return rendezvousOwners(key, self, members).primary;
}

}  // namespace fernmoor::peers
