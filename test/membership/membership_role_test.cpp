/// @file
/// Tests of src/membership/membership_role.h on the simulated network.
#include "membership/membership_role.h"

#include <doctest/doctest.h>

#include "sim/membership_cluster.h"

namespace fernmoor::sim {
namespace {

using std::chrono::seconds;

MembershipClusterSettings settingsOf(uint32_t nodes, uint32_t zones, uint64_t seed) {
  MembershipClusterSettings settings;
  settings.nodes = nodes;
  settings.zones = zones;
  settings.seed = seed;
  return settings;
}

}  // namespace

TEST_CASE("nodes join through seeds and agree") {
  MembershipCluster cluster(settingsOf(20, 3, 1));
  cluster.startAll();
  CHECK(cluster.runUntilAgreed(seconds(10)) < seconds(5));
  CHECK(cluster.role(20).joined());
  const auto snapshot = cluster.role(20).snapshot();
  REQUIRE(snapshot->find(NodeId(7)) != nullptr);
  CHECK(snapshot->find(NodeId(7))->zone == ZoneId("zone-1"));
  CHECK(snapshot->addressOf(NodeId(7)) == snapshot->find(NodeId(7))->peerAddress);
}

}  // namespace fernmoor::sim
