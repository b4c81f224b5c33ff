#include "peers/relay_tiers.h"

#include <algorithm>
#include <map>
#include <set>

#include "common/rendezvous.h"
#include "peers/node_hash.h"

namespace fernmoor::peers {

namespace {

constexpr size_t kMinReaders = 2;
/// Enough that one is left if a zone is partitioned off and another reader stops.
constexpr size_t kMaxReaders = 3;
constexpr size_t kNodesPerRelay = 16;
constexpr uint64_t kReaderKey = 0x72656164657273;

/// @return the binary logarithm of a link's bandwidth, rounded down, so that links of similar
///         bandwidth rank alike; 0 if it is unknown.
int linkClass(uint32_t megabits) {
  int power = 0;
  while (megabits > 1) {
    megabits /= 2;
    ++power;
  }
  return power;
}

/// @return the nodes by descending link class; nodes of the same class by rendezvous hash.
std::vector<NodeId> rankByLink(std::vector<NodeId> nodes, const MembershipSnapshot& members) {
  const size_t count = nodes.size();
  std::vector<NodeId> order = rendezvousTop(kReaderKey, std::move(nodes), count, nodeHash);
  std::stable_sort(order.begin(), order.end(), [&](NodeId a, NodeId b) {
    return linkClass(members.find(a)->linkMegabits) > linkClass(members.find(b)->linkMegabits);
  });
  return order;
}

/// @param relays by rank.
/// @return the first few relays, from different zones as far as possible.
std::vector<NodeId> chooseReaders(const std::vector<NodeId>& relays,
                                  const MembershipSnapshot& members) {
  std::set<ZoneId> zones;
  std::vector<NodeId> firstOfZones;
  std::vector<NodeId> others;
  for (const NodeId relay : relays) {
    const bool isNewZone = zones.insert(members.find(relay)->zone).second;
    (isNewZone ? firstOfZones : others).push_back(relay);
  }
  firstOfZones.insert(firstOfZones.end(), others.begin(), others.end());
  firstOfZones.resize(std::min(kMaxReaders, relays.size()));
  return firstOfZones;
}

}  // namespace

RelayTiers relayTiers(const MembershipSnapshot& members) {
  std::map<ZoneId, std::vector<NodeId>> byZone;
  std::vector<NodeId> all;
  for (const Member& member : members.members) {
    if (member.state == MemberState::kAlive) {
      byZone[member.zone].push_back(member.life.node);
      all.push_back(member.life.node);
    }
  }
  RelayTiers tiers;
  if (all.size() <= kNodesPerRelay) {
    tiers.readers = rankByLink(std::move(all), members);
    tiers.readers.resize(std::min(kMinReaders, tiers.readers.size()));
    tiers.relays = tiers.readers;
    return tiers;
  }
  for (auto& [zone, nodes] : byZone) {
    const size_t count = nodes.size() / kNodesPerRelay + 1;
    const std::vector<NodeId> order = rankByLink(std::move(nodes), members);
    const size_t chosen = std::min(count, order.size());
    tiers.relays.insert(tiers.relays.end(), order.begin(),
                        order.begin() + static_cast<ptrdiff_t>(chosen));
  }
  tiers.relays = rankByLink(std::move(tiers.relays), members);
  tiers.readers = chooseReaders(tiers.relays, members);
  return tiers;
}

}  // namespace fernmoor::peers
