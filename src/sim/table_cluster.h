/// @file
/// Hollow nodes that spread the table under virtual time: the table role and watcher of the daemon
/// on the simulated network, a platform in memory, and a member list that is always right.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "sim/fake_platform.h"
#include "sim/simulated_cluster.h"
#include "table/table_role.h"
#include "table/table_watcher.h"

namespace fernmoor::sim {

struct TableClusterSettings {
  uint32_t nodes = 3;
  uint32_t zones = 3;
  uint64_t seed = 1;
  Duration tickInterval = std::chrono::milliseconds(30);
  NetworkSettings network;
  Knobs knobs;
};

/// Owns the deployment. Not thread-safe.
class TableCluster {
 public:
  explicit TableCluster(const TableClusterSettings& settings);
  ~TableCluster();
  TableCluster(const TableCluster&) = delete;
  TableCluster& operator=(const TableCluster&) = delete;

  SimulatedCluster& cluster() { return cluster_; }
  FakePlatform& platform() { return platform_; }
  const Knobs& knobs() const { return settings_.knobs; }
  void run(Duration duration) { cluster_.run(duration); }

  /// @return the node's table, or null while it is down.
  std::shared_ptr<const Table> table(NodeId node);
  std::shared_ptr<TableRole> role(NodeId node);
  /// @return the members as every node sees them: those that run.
  const MembershipView& membershipOf(NodeId node);

  /// Stores rows as one change, without asking anybody. @return its version.
  TableVersion store(const std::vector<Row>& rows);
  /// @return how many running nodes have the version in force.
  size_t nodesWith(TableVersion version);
  /// Cuts a zone off from the platform, or mends that.
  void setPlatformCut(const ZoneId& zone, bool cut);
  /// Runs until the share of running nodes has the version in force.
  /// @return the time that it took, or none if it didn't within the limit.
  std::optional<Duration> runUntilInForce(TableVersion version, double share, Duration limit);

  /// @return number of times that a node's version in force was seen to go back within one life.
  size_t reversals() const { return reversals_; }

 private:
  class Members;
  class ZonePlatform;
  struct NodeBundle;
  struct Seat;

  std::vector<HostedRole> makeRoles(size_t index, NodeLife life, Time now);
  void runWatcher(size_t index, const std::weak_ptr<NodeBundle>& bundle);
  void checkVersions();
  Seat& seatOf(NodeId node);

  TableClusterSettings settings_;
  SimulatedCluster cluster_;
  FakePlatform platform_;
  std::vector<std::unique_ptr<Seat>> seats_;
  size_t reversals_ = 0;
};

/// @return the example row number `index`; rows are dealt out over eight tenants.
Row exampleTableRow(size_t index);

}  // namespace fernmoor::sim
