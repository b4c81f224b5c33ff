#include "peers/relay_tiers.h"

#include <algorithm>
#include <map>
#include <set>

#include "common/rendezvous.h"
#include "peers/node_hash.h"

namespace fernmoor::peers {

namespace {

constexpr size_t kFewestReaders = 2;
/// Enough that one is left where a zone is cut off and another reader stops.
constexpr size_t kMostReaders = 3;
constexpr size_t kNodesPerRelay = 16;
constexpr uint64_t kReaderKey = 0x72656164657273;

/// @return the power of two below a link's bandwidth, so that links which differ little count
///         alike; 0 where it is unknown.
int linkClass(uint32_t megabits) {
  int power = 0;
  while (megabits > 1) {
    megabits /= 2;
    ++power;
  }
  return power;
}

/// @return the nodes with the widest links first, those of about the same one by rendezvous.
std::vector<NodeId> ranked(std::vector<NodeId> nodes, const MembershipSnapshot& members) {
  const size_t count = nodes.size();
  std::vector<NodeId> order = rendezvousTop(kReaderKey, std::move(nodes), count, nodeHash);
  std::stable_sort(order.begin(), order.end(), [&](NodeId a, NodeId b) {
    return linkClass(members.find(a)->linkMegabits) > linkClass(members.find(b)->linkMegabits);
  });
  return order;
}

/// @param relays in their order.
/// @return the first few of the relays, each from another zone as far as there are zones.
std::vector<NodeId> readersAmong(const std::vector<NodeId>& relays,
                                 const MembershipSnapshot& members) {
  std::set<ZoneId> zones;
  std::vector<NodeId> ofNewZones;
  std::vector<NodeId> others;
  for (const NodeId relay : relays) {
    const bool isNewZone = zones.insert(members.find(relay)->zone).second;
    (isNewZone ? ofNewZones : others).push_back(relay);
  }
  ofNewZones.insert(ofNewZones.end(), others.begin(), others.end());
  ofNewZones.resize(std::min(kMostReaders, relays.size()));
  return ofNewZones;
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
    tiers.readers = ranked(std::move(all), members);
    tiers.readers.resize(std::min(kFewestReaders, tiers.readers.size()));
    tiers.relays = tiers.readers;
    return tiers;
  }
  for (auto& [zone, nodes] : byZone) {
    const size_t count = nodes.size() / kNodesPerRelay + 1;
    const std::vector<NodeId> order = ranked(std::move(nodes), members);
    const size_t chosen = std::min(count, order.size());
    tiers.relays.insert(tiers.relays.end(), order.begin(),
                        order.begin() + static_cast<ptrdiff_t>(chosen));
  }
  tiers.relays = ranked(std::move(tiers.relays), members);
  tiers.readers = readersAmong(tiers.relays, members);
  return tiers;
}

}  // namespace fernmoor::peers
