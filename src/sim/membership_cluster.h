/// @file
/// Hollow nodes that run the membership role, for tests and measurements of membership.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "common/knobs.h"
#include "membership/membership_role.h"
#include "sim/simulated_cluster.h"

namespace fernmoor::sim {

/// What a cluster is made of.
struct MembershipClusterSettings {
  uint32_t nodes = 3;
  uint32_t zones = 3;
  uint32_t regions = 1;
  uint64_t seed = 1;
  NetworkSettings network;
  Knobs knobs;
  /// The first so many nodes are everybody's seeds.
  uint32_t seedNodes = 3;
  Duration tickInterval = SimulatedNode::kDefaultTickInterval;
  /// Each node puts the newest table version it hears of in force at its next tick.
  bool followTableVersions = false;
};

/// Not thread-safe.
class MembershipCluster {
 public:
  /// Adds all nodes, none of which runs yet.
  explicit MembershipCluster(const MembershipClusterSettings& settings);

  SimulatedCluster& cluster() { return cluster_; }
  SimulatedNetwork& network() { return cluster_.network(); }
  void run(Duration duration) { cluster_.run(duration); }
  void startAll() { cluster_.startAll(); }

  SimulatedNode& node(uint32_t id) { return cluster_.node(NodeId(id)); }
  /// @return the role of a running node.
  MembershipRole& role(uint32_t id) { return *node(id).role<MembershipRole>(); }
  uint32_t size() const { return settings_.nodes; }

  /// @return whether every running node holds exactly the running nodes' lives to be live.
  bool isAgreed() const;
  /// @return how many running nodes hold the node to be in the given state; kDead also counts
  /// those that don't know it.
  uint32_t countHolding(uint32_t id, MemberState state) const;
  /// @return how many running nodes know of a table version that is in force somewhere.
  uint32_t countKnowing(TableVersion version) const;
  /// @return how many running nodes know every running node to have the version in force.
  uint32_t countKnowingAllHave(TableVersion version) const;
  /// Runs until isAgreed(), looked at every 50 ms.
  /// @return the time it took, or the limit.
  Duration runUntilAgreed(Duration limit);

 private:
  RoleFactory factoryFor(const Placement& placement);

  MembershipClusterSettings settings_;
  SimulatedCluster cluster_;
  std::vector<Seed> seeds_;
};

}  // namespace fernmoor::sim
