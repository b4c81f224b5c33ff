/// @file
/// Tests of src/membership/membership_role.h on the simulated network.
#include "membership/membership_role.h"

#include <doctest/doctest.h>

#include "sim/membership_cluster.h"

namespace fernmoor::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kJoinLimit = seconds(10);
constexpr uint32_t kNodes = 21;
constexpr uint32_t kZones = 3;

MembershipClusterSettings settingsOf(uint64_t seed) {
  MembershipClusterSettings settings;
  settings.nodes = kNodes;
  settings.zones = kZones;
  settings.seed = seed;
  return settings;
}

MembershipCounters totalOf(MembershipCluster& cluster) {
  MembershipCounters total;
  for (uint32_t id = 1; id <= cluster.size(); ++id) {
    const MembershipCounters one = cluster.role(id).counters();
    total.suspicionsRaised += one.suspicionsRaised;
    total.deaths += one.deaths;
    total.pauses += one.pauses;
  }
  return total;
}

/// A cluster that has joined.
struct Joined {
  explicit Joined(const MembershipClusterSettings& settings) : cluster(settings) {
    cluster.startAll();
    REQUIRE(cluster.runUntilAgreed(kJoinLimit) < kJoinLimit);
  }
  MembershipCluster cluster;
};

/// Looks at the cluster every 100 ms.
/// @return the highest number of nodes that held a node in the state at one time.
uint32_t mostHolding(MembershipCluster& cluster, uint32_t id, MemberState state,
                     Duration duration) {
  uint32_t most = 0;
  const Time end = cluster.cluster().now() + duration;
  while (cluster.cluster().now() < end) {
    cluster.run(milliseconds(100));
    most = std::max(most, cluster.countHolding(id, state));
  }
  return most;
}

}  // namespace

TEST_CASE("nodes join through seeds and agree on zones and addresses") {
  Joined joined(settingsOf(1));
  MembershipCluster& cluster = joined.cluster;
  CHECK(cluster.role(20).joined());
  const auto snapshot = cluster.role(20).snapshot();
  REQUIRE(snapshot->find(NodeId(7)) != nullptr);
  CHECK(snapshot->find(NodeId(7))->zone == ZoneId("zone-1"));
  CHECK(snapshot->addressOf(NodeId(7)) == snapshot->find(NodeId(7))->peerAddress);
  CHECK(snapshot->find(cluster.node(7).life()) != nullptr);
  CHECK(snapshot->find(NodeLife{NodeId(7), Incarnation(1)}) == nullptr);
  CHECK(cluster.role(20).self().life == cluster.node(20).life());
}

TEST_CASE("a lone node without seeds, or whose seeds are silent, counts as joined") {
  MembershipClusterSettings settings = settingsOf(1);
  MembershipCluster cluster(settings);
  cluster.node(20).start();
  cluster.run(seconds(1));
  CHECK_FALSE(cluster.role(20).joined());
  cluster.run(settings.knobs.membershipAloneAfter);
  CHECK(cluster.role(20).joined());
  CHECK(cluster.role(20).members().size() == 1);
}

TEST_CASE("seeds of nodes that are gone are asked, and never become members") {
  Joined joined(settingsOf(2));
  MembershipCluster& cluster = joined.cluster;
  cluster.role(20).addSeeds({{NodeId(500), {"10.1.1.1", 1}}, {NodeId(501), {"10.1.1.2", 1}}});
  cluster.run(seconds(60));
  CHECK(cluster.isAgreed());
  CHECK(cluster.role(20).snapshot()->addressOf(NodeId(500)).has_value());
}

TEST_CASE("a lagging list that names a crashed node does not bring it back") {
  Joined joined(settingsOf(2));
  MembershipCluster& cluster = joined.cluster;
  cluster.node(5).crash();
  cluster.run(seconds(20));
  cluster.role(20).addSeeds({{NodeId(5), {"10.1.1.1", 1}}});
  CHECK(mostHolding(cluster, 5, MemberState::kAlive, seconds(30)) == 0);
}

TEST_CASE("two groups that know nothing of each other merge once one seed is given") {
  MembershipClusterSettings settings = settingsOf(3);
  settings.seedNodes = 0;
  MembershipCluster cluster(settings);
  cluster.startAll();
  for (uint32_t id = 2; id <= kNodes; ++id) {
    cluster.role(id).addSeeds({{NodeId(id % 2 == 0 ? 2 : 1), {}}});
  }
  cluster.run(seconds(20));
  CHECK(cluster.role(4).members().size() == 10);
  CHECK(cluster.role(5).members().size() == 11);
  cluster.role(4).addSeeds({{NodeId(5), {}}});
  CHECK(cluster.runUntilAgreed(seconds(20)) < seconds(20));
}

TEST_CASE("a draining node is seen as such by all within two seconds, and when it stops draining") {
  Joined joined(settingsOf(4));
  MembershipCluster& cluster = joined.cluster;
  cluster.role(9).setDraining(true);
  cluster.run(seconds(2));
  CHECK(cluster.countHolding(9, MemberState::kDraining) == kNodes - 1);
  CHECK(cluster.role(9).self().state == MemberState::kDraining);
  cluster.role(9).setDraining(false);
  cluster.run(seconds(2));
  CHECK(cluster.countHolding(9, MemberState::kAlive) == kNodes - 1);
}

TEST_CASE("all know within two seconds that a node reaches no engine, and that it does again") {
  Joined joined(settingsOf(4));
  MembershipCluster& cluster = joined.cluster;
  const auto countKnowing = [&](bool reachesNone) {
    int count = 0;
    for (const Member& other : cluster.role(4).members()) {
      const auto snapshot = cluster.role(other.life.node.value()).snapshot();
      count += snapshot->find(NodeId(9))->reachesNoEngine == reachesNone ? 1 : 0;
    }
    return count;
  };
  cluster.role(9).setReachesNoEngine(true);
  cluster.run(seconds(2));
  CHECK(countKnowing(true) == kNodes);
  CHECK(cluster.countHolding(9, MemberState::kAlive) == kNodes - 1);
  cluster.role(9).setReachesNoEngine(false);
  cluster.run(seconds(2));
  CHECK(countKnowing(false) == kNodes);
}

TEST_CASE("a node that leaves is gone for all within two seconds, without suspicion") {
  Joined joined(settingsOf(5));
  MembershipCluster& cluster = joined.cluster;
  cluster.role(9).leave(cluster.node(9).sender());
  cluster.run(seconds(2));
  CHECK(cluster.countHolding(9, MemberState::kDead) == kNodes - 1);
  cluster.node(9).crash();
  cluster.run(seconds(30));
  CHECK(cluster.isAgreed());
  CHECK(cluster.countHolding(9, MemberState::kDead) == kNodes - 1);
}

TEST_CASE("a crash is suspected within a few seconds and is dead one suspicion timeout later") {
  const MembershipClusterSettings settings = settingsOf(6);
  Joined joined(settings);
  MembershipCluster& cluster = joined.cluster;
  cluster.node(9).crash();
  cluster.run(seconds(5));
  CHECK(cluster.countHolding(9, MemberState::kAlive) == 0);
  cluster.run(settings.knobs.membershipSuspicionTimeout);
  CHECK(cluster.countHolding(9, MemberState::kDead) == kNodes - 1);
  CHECK(cluster.isAgreed());
}

TEST_CASE("a node that restarts at once is a new life, and its former one is gone") {
  Joined joined(settingsOf(7));
  MembershipCluster& cluster = joined.cluster;
  const NodeLife former = cluster.node(9).life();
  cluster.node(9).start();
  CHECK(cluster.runUntilAgreed(seconds(5)) < seconds(5));
  CHECK(cluster.role(1).snapshot()->find(former) == nullptr);
  CHECK(cluster.role(1).snapshot()->find(cluster.node(9).life()) != nullptr);
}

TEST_CASE("a node whose clock went back learns that its id has a greater incarnation") {
  Joined joined(settingsOf(7));
  MembershipCluster& cluster = joined.cluster;
  MembershipSettings settings;
  settings.self.life = NodeLife{NodeId(9), Incarnation(5)};
  settings.seeds = {{NodeId(1), {}}};
  MembershipRole late(settings);
  // Only the answer to a ping tells it; the others are answered by nobody.
  proto::Envelope accusation;
  proto::MemberUpdate& update = *accusation.mutable_membership()->add_updates();
  update.set_node_id(9);
  update.set_incarnation(cluster.node(9).life().incarnation.value());
  late.onMessage(cluster.node(1).life(), accusation, cluster.cluster().now(),
                 cluster.node(9).sender());
  CHECK(late.supersededBy() == cluster.node(9).life().incarnation);
}

TEST_CASE("lost messages raise hardly any suspicion at 5 in 100, and kill nobody at 20 in 100") {
  MembershipClusterSettings settings = settingsOf(8);
  Joined joined(settings);
  MembershipCluster& cluster = joined.cluster;
  settings.network.lossRate = 0.05;
  cluster.network().setSettings(settings.network);
  cluster.run(minutes(5));
  CHECK(totalOf(cluster).suspicionsRaised <= 2);
  settings.network.lossRate = 0.20;
  settings.network.duplicateRate = 0.05;
  settings.network.reorderRate = 0.10;
  cluster.network().setSettings(settings.network);
  cluster.run(minutes(5));
  CHECK(totalOf(cluster).deaths == 0);
}

TEST_CASE("a one-way cut between two of three zones raises no suspicion") {
  Joined joined(settingsOf(9));
  MembershipCluster& cluster = joined.cluster;
  cluster.network().cutZones(ZoneId("zone-1"), ZoneId("zone-2"));
  cluster.run(minutes(3));
  CHECK(totalOf(cluster).suspicionsRaised == 0);
  CHECK(cluster.isAgreed());
}

TEST_CASE("a node frozen past the timeout is dead, and returns in the same life without harm") {
  Joined joined(settingsOf(10));
  MembershipCluster& cluster = joined.cluster;
  const NodeLife life = cluster.node(9).life();
  cluster.node(9).freeze();
  cluster.run(seconds(30));
  CHECK(cluster.countHolding(9, MemberState::kDead) == kNodes - 1);
  const uint64_t deathsBefore = totalOf(cluster).deaths;
  cluster.node(9).thaw();
  CHECK(cluster.runUntilAgreed(seconds(5)) < seconds(5));
  CHECK(cluster.node(9).life() == life);
  cluster.run(seconds(30));
  CHECK(cluster.isAgreed());
  CHECK(totalOf(cluster).deaths == deathsBefore);
  CHECK(totalOf(cluster).pauses == 1);
}

TEST_CASE("all nodes restart at once and agree within seconds, with no former life left") {
  Joined joined(settingsOf(11));
  MembershipCluster& cluster = joined.cluster;
  for (uint32_t id = 1; id <= kNodes; ++id) {
    cluster.node(id).start();
  }
  CHECK(cluster.runUntilAgreed(kJoinLimit) < seconds(3));
  cluster.run(minutes(1));
  CHECK(cluster.isAgreed());
  CHECK(totalOf(cluster).suspicionsRaised == 0);
}

TEST_CASE("a zone cut off for an hour merges again, and no member dies in its own zone") {
  MembershipClusterSettings settings = settingsOf(12);
  settings.tickInterval = milliseconds(100);
  Joined joined(settings);
  MembershipCluster& cluster = joined.cluster;
  cluster.network().isolateZone(ZoneId("zone-1"));
  cluster.run(minutes(60));
  CHECK(cluster.role(1).members().size() == 7);
  CHECK(cluster.role(2).members().size() == 14);
  const MembershipCounters before = totalOf(cluster);
  cluster.network().healAll();
  CHECK(cluster.runUntilAgreed(seconds(30)) < seconds(15));
  cluster.run(minutes(2));
  CHECK(cluster.isAgreed());
  CHECK(totalOf(cluster).deaths == before.deaths);
  CHECK(totalOf(cluster).suspicionsRaised == before.suspicionsRaised);
}

TEST_CASE("while two partitions merge, no live member is held dead or suspect on its own side") {
  Joined joined(settingsOf(13));
  MembershipCluster& cluster = joined.cluster;
  cluster.network().isolateZone(ZoneId("zone-1"));
  cluster.run(minutes(2));
  cluster.network().healAll();
  uint32_t lost = 0;
  for (int look = 0; look < 200; ++look) {
    cluster.run(milliseconds(50));
    for (uint32_t id = 1; id <= kNodes; ++id) {
      const auto snapshot = cluster.role(id).snapshot();
      for (uint32_t other = 1; other <= kNodes; ++other) {
        const bool sameSide = (id % kZones == 1) == (other % kZones == 1);
        const Member* const member = snapshot->find(NodeId(other));
        lost += sameSide && (member == nullptr || member->state != MemberState::kAlive) ? 1 : 0;
      }
    }
  }
  CHECK(lost == 0);
  CHECK(cluster.isAgreed());
}

TEST_CASE("both sides of a cut zone know within ten seconds that the other side is gone") {
  MembershipClusterSettings settings = settingsOf(17);
  settings.zones = 7;
  settings.nodes = 70;
  Joined joined(settings);
  MembershipCluster& cluster = joined.cluster;
  cluster.network().isolateZone(ZoneId("zone-1"));
  cluster.run(seconds(10));
  uint32_t heldAlive = 0;
  for (uint32_t id = 1; id <= settings.nodes; ++id) {
    const auto snapshot = cluster.role(id).snapshot();
    for (const Member& member : snapshot->members) {
      const bool sameSide = (member.life.node.value() % 7 == 1) == (id % 7 == 1);
      heldAlive += !sameSide && member.state == MemberState::kAlive ? 1 : 0;
    }
  }
  CHECK(heldAlive == 0);
}

TEST_CASE("a region cut off and healed merges again") {
  MembershipClusterSettings settings = settingsOf(14);
  settings.zones = 7;
  settings.regions = 2;
  settings.nodes = 42;
  Joined joined(settings);
  MembershipCluster& cluster = joined.cluster;
  cluster.network().isolateRegion(RegionId("region-1"));
  cluster.run(minutes(2));
  CHECK(cluster.role(1).members().size() == 24);
  cluster.network().healAll();
  CHECK(cluster.runUntilAgreed(seconds(30)) < seconds(15));
}

TEST_CASE(
    "every node learns a table version, and that all have it in force, within three seconds") {
  MembershipClusterSettings settings = settingsOf(15);
  settings.followTableVersions = true;
  Joined joined(settings);
  MembershipCluster& cluster = joined.cluster;
  cluster.role(4).setLocalTableVersion(TableVersion(7));
  cluster.run(seconds(3));
  CHECK(cluster.countKnowing(TableVersion(7)) == kNodes);
  CHECK(cluster.countKnowingAllHave(TableVersion(7)) == kNodes);
  cluster.role(4).setLocalTableVersion(TableVersion(6));
  CHECK(cluster.role(4).self().tableVersion == TableVersion(7));
}

TEST_CASE("a restarted node's version counts anew, not that of its former life") {
  MembershipClusterSettings settings = settingsOf(16);
  Joined joined(settings);
  MembershipCluster& cluster = joined.cluster;
  for (uint32_t id = 1; id <= kNodes; ++id) {
    cluster.role(id).setLocalTableVersion(TableVersion(7));
  }
  cluster.run(seconds(5));
  REQUIRE(cluster.countKnowingAllHave(TableVersion(7)) == kNodes);
  cluster.node(9).start();
  cluster.run(seconds(30));
  REQUIRE(cluster.isAgreed());
  CHECK(cluster.countKnowingAllHave(TableVersion(7)) == 0);
  CHECK(cluster.role(9).snapshot()->newestTableVersion == TableVersion(7));
}

}  // namespace fernmoor::sim
