#include "sim/simulated_cluster.h"

#include <cassert>
#include <string>
#include <utility>

namespace fernmoor::sim {

SimulatedCluster::SimulatedCluster(uint64_t seed, NetworkSettings settings)
    : queue_(clock_), random_(seed), network_(queue_, settings, random_.next()) {}

SimulatedNode& SimulatedCluster::addNode(const Placement& placement, RoleFactory factory,
                                         Duration tickInterval) {
  nodes_.push_back(std::make_unique<SimulatedNode>(placement, queue_, network_, std::move(factory),
                                                   random_.next(), tickInterval));
  return *nodes_.back();
}

void SimulatedCluster::startAll() {
  for (const auto& node : nodes_) {
    if (!node->isRunning()) {
      node->start();
    }
  }
}

SimulatedNode& SimulatedCluster::node(NodeId id) {
  for (const auto& node : nodes_) {
    if (node->placement().node == id) {
      return *node;
    }
  }
  assert(false && "no node of this id was added");
  return *nodes_.front();
}

std::vector<Placement> spreadOverZones(uint32_t count, uint32_t zoneCount, uint32_t regionCount) {
  assert(zoneCount > 0 && regionCount > 0);
  std::vector<Placement> placements;
  for (uint32_t index = 0; index < count; ++index) {
    const uint32_t zone = index % zoneCount;
    const uint32_t region = zone * regionCount / zoneCount;
    placements.push_back(Placement{NodeId(index + 1), ZoneId("zone-" + std::to_string(zone + 1)),
                                   RegionId("region-" + std::to_string(region + 1))});
  }
  return placements;
}

}  // namespace fernmoor::sim
