/// @file
/// A clock, a queue, a network and hollow nodes that belong together, for tests and measurements.
#pragma once

#include <memory>
#include <vector>

#include "sim/event_queue.h"
#include "sim/simulated_network.h"
#include "sim/simulated_node.h"
#include "sim/virtual_clock.h"

namespace fernmoor::sim {

/// Owns a whole simulated deployment. Not thread-safe.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(uint64_t seed, NetworkSettings settings = {});

  /// Adds a node that start() or startAll() brings up.
  SimulatedNode& addNode(const Placement& placement, RoleFactory factory,
                         Duration tickInterval = SimulatedNode::kDefaultTickInterval);
  /// Starts every node that is down.
  void startAll();
  /// Runs the events of the next length of virtual time.
  void run(Duration duration) { queue_.runFor(duration); }

  Time now() const { return clock_.now(); }
  VirtualClock& clock() { return clock_; }
  EventQueue& queue() { return queue_; }
  SimulatedNetwork& network() { return network_; }
  /// @return all nodes in the order in which they were added.
  const std::vector<std::unique_ptr<SimulatedNode>>& nodes() const { return nodes_; }
  /// @return the node of that id, which must have been added.
  SimulatedNode& node(NodeId id);

 private:
  VirtualClock clock_;
  EventQueue queue_;
  Random random_;
  SimulatedNetwork network_;
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
};

/// Places nodes 1 to count, each in turn in the next of the zones "zone-1"... in `regionCount`
/// regions "region-1"...; the zones are shared out among the regions in blocks.
std::vector<Placement> spreadOverZones(uint32_t count, uint32_t zoneCount, uint32_t regionCount);

}  // namespace fernmoor::sim
