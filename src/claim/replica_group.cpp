#include "claim/replica_group.h"

#include <algorithm>
#include <set>

#include "common/rendezvous.h"

namespace fernmoor {

namespace {

uint64_t memberHash(const GroupMember& member) {
  return member.node.value();
}

}  // namespace

std::vector<NodeId> replicaGroupFor(const ClaimKey& key, const std::vector<GroupMember>& members,
                                    size_t count) {
  const std::vector<GroupMember> ranked =
      rendezvousTop(claimKeyHash(key), members, members.size(), memberHash);
  std::vector<NodeId> group;
  std::set<ZoneId> zones;
  for (const GroupMember& member : ranked) {
    if (group.size() < count && zones.insert(member.zone).second) {
      group.push_back(member.node);
    }
  }
  for (const GroupMember& member : ranked) {
    if (group.size() < count && !contains(group, member.node)) {
      group.push_back(member.node);
    }
  }
  return group;
}

bool contains(const std::vector<NodeId>& group, NodeId node) {
  return std::find(group.begin(), group.end(), node) != group.end();
}

}  // namespace fernmoor
