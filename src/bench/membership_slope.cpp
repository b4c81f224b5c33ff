/// @file
/// Cost of membership at rest, by nodes: hollow nodes on the simulated network, messages through
/// the codec.
#include "bench/resource_usage.h"
#include "bench/slopes.h"
#include "bench/target_sizes.h"
#include "sim/membership_cluster.h"

namespace fernmoor::bench {

namespace {

constexpr Duration kSettleTime{30000000};
constexpr Duration kMeasuredTime{20000000};

struct MembershipCost {
  double bytesPerSecond = 0;
  double messagesPerSecond = 0;
  double corePercent = 0;
  double heapBytes = 0;
};

MembershipCost measureCluster(uint32_t nodes) {
  sim::MembershipClusterSettings settings;
  settings.nodes = nodes;
  settings.zones = static_cast<uint32_t>(target::kZones);
  settings.regions = static_cast<uint32_t>(target::kRegions);
  settings.network.throughCodec = true;
  const int64_t heapBefore = heapBytes();
  sim::MembershipCluster cluster(settings);
  cluster.startAll();
  cluster.run(kSettleTime);
  cluster.network().resetTraffic();
  const double cpuBefore = threadCpuSeconds();
  cluster.run(kMeasuredTime);
  const double cpu = threadCpuSeconds() - cpuBefore;
  const double nodeSeconds = toSeconds(kMeasuredTime) * nodes;
  MembershipCost cost;
  for (uint32_t node = 1; node <= nodes; ++node) {
    const sim::TrafficCount& sent = cluster.network().trafficOf(NodeId(node)).sent;
    cost.bytesPerSecond += static_cast<double>(sent.bytes) / nodeSeconds;
    cost.messagesPerSecond += static_cast<double>(sent.messages) / nodeSeconds;
  }
  cost.corePercent = 100 * cpu / nodeSeconds;
  cost.heapBytes = static_cast<double>(heapBytes() - heapBefore) / nodes;
  return cost;
}

}  // namespace

std::vector<Slope> measureMembership() {
  Slope bytes{"membership-bytes",
              "bytes a second that a node sends at rest (IP and UDP headers and the tag included)",
              "nodes",
              "bytes/s",
              "MembershipRole (src/membership/)",
              {},
              target::kNodes};
  Slope messages = bytes;
  messages.name = "membership-messages";
  messages.what = "messages a second that a node sends at rest";
  messages.costUnit = "messages/s";
  Slope cpu = bytes;
  cpu.name = "membership-cpu";
  cpu.what = "share of a core of a node at rest, codec and simulator included, sockets not";
  cpu.costUnit = "% of a core";
  Slope memory = bytes;
  memory.name = "membership-memory";
  memory.what = "heap of a node's membership, the simulator's part included";
  memory.costUnit = "bytes";
  for (const uint32_t nodes : {10U, 50U, 100U, 200U, 380U}) {
    const MembershipCost cost = measureCluster(nodes);
    const auto size = static_cast<double>(nodes);
    bytes.points.push_back(Point{size, cost.bytesPerSecond});
    messages.points.push_back(Point{size, cost.messagesPerSecond});
    cpu.points.push_back(Point{size, cost.corePercent});
    memory.points.push_back(Point{size, cost.heapBytes});
  }
  return {bytes, messages, cpu, memory};
}

}  // namespace fernmoor::bench
