/// @file
/// Membership under faults drawn from a seed: whatever happened, once the faults are over all nodes
/// agree, and no node ever holds itself to be anything but live.
#include <doctest/doctest.h>

#include <string>

#include "common/random.h"
#include "sim/membership_cluster.h"

namespace fernmoor::sim {
namespace {

using std::chrono::seconds;

constexpr uint32_t kNodes = 12;
constexpr uint32_t kZones = 4;
constexpr uint64_t kSeeds = 20;
constexpr int kFaults = 40;
constexpr Duration kRecovery = seconds(30);

ZoneId randomZone(Random& random) {
  return ZoneId("zone-" + std::to_string(1 + random.below(kZones)));
}

void injectFault(MembershipCluster& cluster, Random& random) {
  SimulatedNode& node = cluster.node(static_cast<uint32_t>(1 + random.below(kNodes)));
  switch (random.below(8)) {
    case 0:
      node.crash();
      return;
    case 1:
      node.start();
      return;
    case 2:
      node.freeze();
      return;
    case 3:
      node.thaw();
      return;
    case 4:
      cluster.network().isolateZone(randomZone(random));
      return;
    case 5:
      cluster.network().cutZones(randomZone(random), randomZone(random));
      return;
    case 6:
      cluster.network().healAll();
      return;
    default:
      cluster.network().cutNodes(node.placement().node,
                                 NodeId(static_cast<uint32_t>(1 + random.below(kNodes))));
  }
}

bool allHoldThemselvesLive(MembershipCluster& cluster) {
  for (const auto& node : cluster.cluster().nodes()) {
    if (!node->isRunning()) {
      continue;
    }
    const Member self = node->role<MembershipRole>()->self();
    if (self.life != node->life() || self.state != MemberState::kAlive) {
      return false;
    }
  }
  return true;
}

}  // namespace

TEST_CASE("after any faults all nodes agree again") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    MembershipClusterSettings settings;
    settings.nodes = kNodes;
    settings.zones = kZones;
    settings.regions = 2;
    settings.seed = seed;
    settings.followTableVersions = true;
    settings.network.lossRate = 0.05;
    settings.network.duplicateRate = 0.05;
    settings.network.reorderRate = 0.05;
    MembershipCluster cluster(settings);
    Random random(seed);
    cluster.startAll();
    for (int fault = 0; fault < kFaults; ++fault) {
      injectFault(cluster, random);
      cluster.run(random.between(Duration::zero(), seconds(10)));
      REQUIRE(allHoldThemselvesLive(cluster));
    }
    cluster.network().healAll();
    for (const auto& node : cluster.cluster().nodes()) {
      node->thaw();
    }
    cluster.startAll();
    settings.network.lossRate = 0;
    cluster.network().setSettings(settings.network);
    CHECK(cluster.runUntilAgreed(kRecovery) < kRecovery);
    cluster.role(1).setLocalTableVersion(TableVersion(9));
    cluster.run(seconds(3));
    CHECK(cluster.isAgreed());
    CHECK(cluster.countKnowingAllHave(TableVersion(9)) == kNodes);
  }
}

}  // namespace fernmoor::sim
