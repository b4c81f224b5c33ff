/// @file
/// The replica group of a key: a few nodes, spread over zones by rendezvous hashing
/// over a versioned configuration.
#pragma once

#include <cstdint>
#include <vector>

#include "claim/claim_key.h"
#include "common/ids.h"

namespace fernmoor {

/// A node that may store claims.
struct GroupMember {
  NodeId node;
  /// Incarnation in which the node joined this configuration. A later one has lost its state and
  /// must recover before it votes; 0 always means "lost".
  Incarnation joinedAt;
  ZoneId zone;
};

/// The members of one epoch, stored in the platform's object store. The writer raises the epoch
/// with every change and writes the next one only after the last is active on its members.
struct GroupConfiguration {
  uint64_t epoch = 0;  ///< 0 means that there is no configuration yet.
  std::vector<GroupMember> members;
  uint64_t previousEpoch = 0;  ///< 0: there was none, nothing has to be sealed.
  std::vector<GroupMember> previousMembers;
  /// Previous members whose machines are confirmed to be permanently gone: they no longer vote.
  std::vector<NodeId> retired;
};

/// @return the nodes that store the key's claim, best first: as many zones as there are, then the
/// best of the remaining members.
/// @param count wanted size; the group is smaller where there are fewer members.
std::vector<NodeId> replicaGroupFor(const ClaimKey& key, const std::vector<GroupMember>& members,
                                    size_t count);

/// @return votes that make a majority of a group.
constexpr size_t majorityOf(size_t groupSize) {
  return groupSize / 2 + 1;
}

/// @return replicas that must answer so that every majority contains one of them: n - q + 1.
constexpr size_t intersectionOf(size_t groupSize) {
  return groupSize - majorityOf(groupSize) + 1;
}

/// @return true if the node is one of the group.
bool contains(const std::vector<NodeId>& group, NodeId node);

}  // namespace fernmoor
