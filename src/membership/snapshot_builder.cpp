#include "membership/snapshot_builder.h"

#include <algorithm>

namespace fernmoor {

namespace {

Member memberOf(const MemberEntry& entry) {
  Member member;
  member.life = entry.status.life;
  member.zone = entry.identity.zone;
  member.region = entry.identity.region;
  member.peerAddress = entry.identity.peerAddress;
  member.httpAddress = entry.identity.httpAddress;
  member.linkMegabits = entry.identity.linkMegabits;
  member.state = stateOf(entry.status);
  member.tableVersion = entry.status.tableVersion;
  member.reachesNoEngine = entry.status.reachesNoEngine;
  return member;
}

/// Adds the seeds that no member is known for; keeps the order by node id.
void addSeedAddresses(const std::vector<Seed>& seeds, const MemberTable& table,
                      std::vector<NodeAddress>& addresses) {
  const size_t members = addresses.size();
  for (const Seed& seed : seeds) {
    if (table.find(seed.node) == nullptr) {
      addresses.push_back(NodeAddress{seed.node, seed.peerAddress});
    }
  }
  if (addresses.size() == members) {
    return;
  }
  std::sort(addresses.begin(), addresses.end(),
            [](const NodeAddress& a, const NodeAddress& b) { return a.node < b.node; });
}

}  // namespace

std::shared_ptr<const MembershipSnapshot> buildSnapshot(uint64_t version, const MemberTable& table,
                                                        const VersionSpread& versions,
                                                        const std::vector<Seed>& seeds) {
  auto made = std::make_shared<MembershipSnapshot>();
  made->version = version;
  made->self = table.self().status.life;
  made->members.reserve(table.entries().size());
  made->addresses.reserve(table.entries().size());
  for (const auto& entry : table.entries()) {
    made->addresses.push_back(NodeAddress{entry.first, entry.second.identity.peerAddress});
    const bool listed = isLive(entry.second.status.health) || entry.first == table.selfId();
    if (listed) {
      made->members.push_back(memberOf(entry.second));
    }
  }
  addSeedAddresses(seeds, table, made->addresses);
  made->newestTableVersion = versions.newest();
  made->newestTableHolder = versions.holder();
  return made;
}

}  // namespace fernmoor
