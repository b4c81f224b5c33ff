/// @file
/// Cost and time of spreading the table, by nodes and by rows.
#include <algorithm>

#include "bench/resource_usage.h"
#include "bench/slopes.h"
#include "bench/target_sizes.h"
#include "sim/table_cluster.h"

namespace fernmoor::bench {

namespace {

constexpr Duration kSettleTime{5000000};
constexpr Duration kMeasuredTime{5000000};
constexpr Duration kSpreadLimit{30000000};
constexpr size_t kRowsOfSpread = 200;
constexpr int kChanges = 3;

sim::TableClusterSettings settingsFor(uint32_t nodes) {
  sim::TableClusterSettings settings;
  settings.nodes = nodes;
  settings.zones = static_cast<uint32_t>(target::kZones);
  settings.network.throughCodec = true;
  return settings;
}

std::vector<Row> exampleRows(size_t count) {
  std::vector<Row> rows;
  for (size_t index = 0; index < count; ++index) {
    rows.push_back(sim::exampleTableRow(index));
  }
  return rows;
}

double bytesSent(sim::TableCluster& cluster, uint32_t nodes) {
  double bytes = 0;
  for (uint32_t node = 1; node <= nodes; ++node) {
    bytes += static_cast<double>(cluster.cluster().network().trafficOf(NodeId(node)).sent.bytes);
  }
  return bytes;
}

struct SpreadCost {
  double idleBytesPerSecond = 0;
  double idleCorePercent = 0;
  double bytesPerChange = 0;
  double secondsToAll = 0;  ///< Worst of the changes.
};

SpreadCost measureSpread(uint32_t nodes) {
  sim::TableCluster cluster(settingsFor(nodes));
  cluster.run(kSettleTime);
  cluster.store(exampleRows(kRowsOfSpread));
  cluster.run(kSettleTime);
  cluster.cluster().network().resetTraffic();
  const double cpuBefore = threadCpuSeconds();
  cluster.run(kMeasuredTime);
  const double nodeSeconds = toSeconds(kMeasuredTime) * nodes;
  SpreadCost cost;
  cost.idleCorePercent = 100 * (threadCpuSeconds() - cpuBefore) / nodeSeconds;
  cost.idleBytesPerSecond = bytesSent(cluster, nodes) / nodeSeconds;
  cluster.cluster().network().resetTraffic();
  for (int change = 0; change < kChanges; ++change) {
    const TableVersion version = cluster.store({sim::exampleTableRow(static_cast<size_t>(change))});
    const std::optional<Duration> time = cluster.runUntilInForce(version, 1, kSpreadLimit);
    cost.secondsToAll = std::max(cost.secondsToAll, toSeconds(time.value_or(kSpreadLimit)));
    cluster.run(std::max(Duration(0), kMeasuredTime - time.value_or(kSpreadLimit)));
  }
  const double idle = cost.idleBytesPerSecond * toSeconds(kMeasuredTime);
  cost.bytesPerChange = bytesSent(cluster, nodes) / nodes / kChanges - idle;
  return cost;
}

/// @return bytes that a restarted node takes in until it has the table.
double measureCatchUp(size_t rows) {
  sim::TableCluster cluster(settingsFor(7));
  cluster.run(kSettleTime);
  const TableVersion version = cluster.store(exampleRows(rows));
  cluster.runUntilInForce(version, 1, kSpreadLimit);
  cluster.run(kSettleTime);
  const NodeId restarted(7);
  cluster.cluster().node(restarted).crash();
  cluster.cluster().network().resetTraffic();
  cluster.cluster().node(restarted).start();
  cluster.runUntilInForce(version, 1, kSpreadLimit);
  return static_cast<double>(cluster.cluster().network().trafficOf(restarted).received.bytes);
}

}  // namespace

std::vector<Slope> measureTableSpread() {
  Slope idleBytes{"table-idle-bytes",
                  "bytes a second that a node sends while nothing changes",
                  "nodes",
                  "bytes/s",
                  "TableRole (src/table/table_role.cpp)",
                  {},
                  target::kNodes};
  Slope idleCpu = idleBytes;
  idleCpu.name = "table-idle-cpu";
  idleCpu.what = "share of a core of a node while nothing changes, codec and simulator included";
  idleCpu.costUnit = "% of a core";
  Slope changeBytes = idleBytes;
  changeBytes.name = "table-change-bytes";
  changeBytes.what = "bytes that a node sends for one changed row";
  changeBytes.costUnit = "bytes";
  Slope spread = idleBytes;
  spread.name = "table-spread-time";
  spread.what = "time until a changed row is in force on all nodes, worst of 3 changes";
  spread.costUnit = "s";
  for (const uint32_t nodes : {10U, 50U, 100U, 200U, 380U}) {
    const SpreadCost cost = measureSpread(nodes);
    const auto size = static_cast<double>(nodes);
    idleBytes.points.push_back(Point{size, cost.idleBytesPerSecond});
    idleCpu.points.push_back(Point{size, cost.idleCorePercent});
    changeBytes.points.push_back(Point{size, cost.bytesPerChange});
    spread.points.push_back(Point{size, cost.secondsToAll});
  }
  Slope catchUp{"table-catch-up-bytes",
                "bytes that a restarted node takes in until it has the table",
                "rows",
                "bytes",
                "SnapshotArchive (src/table/snapshot_transfer.cpp)",
                {},
                target::kTenants};
  for (const size_t rows : {1000U, 5000U, 10000U, 35000U}) {
    catchUp.points.push_back(Point{static_cast<double>(rows), measureCatchUp(rows)});
  }
  return {idleBytes, idleCpu, changeBytes, spread, catchUp};
}

}  // namespace fernmoor::bench
