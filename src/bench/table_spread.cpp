#include "bench/table_spread.h"

#include <algorithm>
#include <cstdio>
#include <functional>

#include "sim/table_cluster.h"
#include "table/table_change_coordinator.h"

namespace fernmoor::bench {

namespace {

using sim::TableCluster;
using sim::TableClusterSettings;

constexpr Duration kLimit = std::chrono::seconds(30);
constexpr Duration kSettle = std::chrono::seconds(3);
constexpr size_t kRows = 200;
constexpr size_t kChangedRow = 7;

/// What one run found, in milliseconds; negative: not within the limit.
struct Spread {
  double half = -1;
  double nearlyAll = -1;
  double all = -1;
  double bytesPerNode = 0;
};

double measureFrom(TableCluster& cluster, Time begin, TableVersion version, double share) {
  const auto reached = cluster.runUntilInForce(version, share, kLimit);
  return reached ? toMilliseconds(cluster.cluster().now() - begin) : -1;
}

Spread measureSpread(TableCluster& cluster, Time begin, TableVersion version) {
  Spread spread;
  spread.half = measureFrom(cluster, begin, version, 0.5);
  spread.nearlyAll = measureFrom(cluster, begin, version, 0.99);
  spread.all = measureFrom(cluster, begin, version, 1.0);
  return spread;
}

void loadTable(TableCluster& cluster) {
  std::vector<Row> rows;
  for (size_t index = 0; index < kRows; ++index) {
    rows.push_back(sim::exampleTableRow(index));
  }
  cluster.runUntilInForce(cluster.store(rows), 1.0, kLimit);
  cluster.run(kSettle);
}

TableVersion storeChange(TableCluster& cluster, int64_t priority) {
  Row row = sim::exampleTableRow(kChangedRow);
  row.priority = priority;
  return cluster.store({row});
}

uint64_t bytesSent(TableCluster& cluster) {
  uint64_t bytes = 0;
  for (const auto& node : cluster.cluster().nodes()) {
    bytes += cluster.cluster().network().trafficOf(node->placement().node).sent.bytes;
  }
  return bytes;
}

uint64_t bytesIn(TableCluster& cluster, Duration duration) {
  cluster.cluster().network().resetTraffic();
  cluster.run(duration);
  return bytesSent(cluster);
}

Spread healthy(TableCluster& cluster) {
  const uint64_t idleBytes = bytesIn(cluster, kSettle);
  cluster.cluster().network().resetTraffic();
  const Time begin = cluster.cluster().now();
  Spread spread = measureSpread(cluster, begin, storeChange(cluster, 1));
  cluster.cluster().queue().runUntil(begin + kSettle);
  const double changeBytes =
      static_cast<double>(bytesSent(cluster)) - static_cast<double>(idleBytes);
  spread.bytesPerNode = changeBytes / static_cast<double>(cluster.cluster().nodes().size());
  return spread;
}

/// The platform dies when the first watcher has read the change.
Spread platformDiesAfterFirstReader(TableCluster& cluster) {
  const Time begin = cluster.cluster().now();
  const TableVersion version = storeChange(cluster, 1);
  cluster.cluster().queue().runUntil(begin + kLimit,
                                     [&] { return cluster.nodesWith(version) >= 1; });
  cluster.platform().setDown(true);
  return measureSpread(cluster, begin, version);
}

Spread lossyNetwork(TableCluster& cluster) {
  sim::NetworkSettings settings = cluster.cluster().network().settings();
  settings.lossRate = 0.1;
  settings.duplicateRate = 0.05;
  settings.reorderRate = 0.1;
  cluster.cluster().network().setSettings(settings);
  const Time begin = cluster.cluster().now();
  return measureSpread(cluster, begin, storeChange(cluster, 1));
}

/// One zone sees neither the others nor the platform; measured from the mending.
Spread zoneCutOffAndHealed(TableCluster& cluster) {
  const ZoneId zone("zone-1");
  cluster.cluster().network().isolateZone(zone);
  cluster.setPlatformCut(zone, true);
  TableVersion version;
  for (int64_t priority = 0; priority < 5; ++priority) {
    version = storeChange(cluster, priority);
    cluster.run(kSettle);
  }
  cluster.cluster().network().healAll();
  cluster.setPlatformCut(zone, false);
  return measureSpread(cluster, cluster.cluster().now(), version);
}

/// One zone sees the platform, but no other zone.
Spread zoneCutFromOtherZones(TableCluster& cluster) {
  cluster.cluster().network().isolateZone(ZoneId("zone-1"));
  const Time begin = cluster.cluster().now();
  return measureSpread(cluster, begin, storeChange(cluster, 1));
}

/// Every node restarts at once; measured from the restart.
Spread herdRestart(TableCluster& cluster) {
  const TableVersion version = storeChange(cluster, 1);
  cluster.run(kSettle);
  for (const auto& node : cluster.cluster().nodes()) {
    node->start();
  }
  return measureSpread(cluster, cluster.cluster().now(), version);
}

/// A third of the nodes restarts while the platform is down; measured from the restart.
Spread thirdRestartsWithoutPlatform(TableCluster& cluster) {
  const TableVersion version = storeChange(cluster, 1);
  cluster.run(kSettle);
  cluster.platform().setDown(true);
  const auto& nodes = cluster.cluster().nodes();
  for (size_t index = 0; index < nodes.size(); index += 3) {
    nodes[index]->start();
  }
  return measureSpread(cluster, cluster.cluster().now(), version);
}

TableChangeCoordinator coordinatorAt(TableCluster& cluster, NodeId node) {
  return TableChangeCoordinator(cluster.platform(), *cluster.table(node), *cluster.role(node),
                                cluster.membershipOf(node), cluster.cluster().clock(),
                                cluster.knobs(), [&cluster](Duration wait) { cluster.run(wait); });
}

TableEdit editOf(TableCluster& cluster, NodeId node, int64_t priority, const std::string& id) {
  const auto snapshot = cluster.table(node)->current();
  const Row base = *snapshot->find(sim::exampleTableRow(kChangedRow).key);
  Row mine = base;
  mine.priority = priority;
  return TableEdit{ChangeId(id), snapshot->version(), {RowEdit{base.key, mine, base}}, {}};
}

/// @return milliseconds until the change was reported accepted, or a negative number.
double changeAndWait(TableCluster& cluster, NodeId node, const TableEdit& edit) {
  const Time begin = cluster.cluster().now();
  const auto report = coordinatorAt(cluster, node).change(edit);
  const bool accepted = isOk(report) && valueOf(report).standing == EditStanding::kAccepted;
  return accepted ? toMilliseconds(cluster.cluster().now() - begin) : -1;
}

Spread acceptedWithLostAnswer(TableCluster& cluster) {
  cluster.platform().setMachines({});
  cluster.platform().loseAnswers(1);
  const double took = changeAndWait(cluster, NodeId(1), editOf(cluster, NodeId(1), 1, "lost"));
  return Spread{-1, -1, took, 0};
}

/// Two operators edit one cell at two nodes from one version; the second one looks again and wins.
Spread acceptedAfterRace(TableCluster& cluster) {
  cluster.platform().setMachines({});
  const TableEdit first = editOf(cluster, NodeId(1), 1, "first");
  const TableEdit second = editOf(cluster, NodeId(2), 2, "second");
  const Time begin = cluster.cluster().now();
  const bool firstAccepted = changeAndWait(cluster, NodeId(1), first) >= 0;
  const auto refused = coordinatorAt(cluster, NodeId(2)).change(second);
  const bool toldBothSides = isOk(refused) &&
                             valueOf(refused).standing == EditStanding::kConflict &&
                             valueOf(refused).conflicts.at(0).theirs->priority == 1;
  const TableEdit again = editOf(cluster, NodeId(2), 2, "again");
  const bool secondAccepted = changeAndWait(cluster, NodeId(2), again) >= 0;
  const bool asPromised = firstAccepted && toldBothSides && secondAccepted;
  const double took = toMilliseconds(cluster.cluster().now() - begin);
  return Spread{-1, -1, asPromised ? took : -1, 0};
}

struct Situation {
  const char* name;
  Spread (*run)(TableCluster& cluster);
};

constexpr Situation kSituations[] = {
    {"healthy", healthy},
    {"platform dies after its first reader", platformDiesAfterFirstReader},
    {"10 % loss, 5 % doubled, 10 % reordered", lossyNetwork},
    {"zone cut from other zones, not from the platform", zoneCutFromOtherZones},
    {"zone cut off for 5 changes, from healing on", zoneCutOffAndHealed},
    {"herd restart of all nodes, from the restart on", herdRestart},
    {"a third restarts, platform down, from the restart on", thirdRestartsWithoutPlatform},
    {"accepted (answer lost), as told to the operator", acceptedWithLostAnswer},
    {"two operators race, both accepted in turn", acceptedAfterRace},
};

/// Keeps the worse of two measurements; one that did not get there is the worst.
double worse(double a, double b) {
  return a < 0 || b < 0 ? -1 : std::max(a, b);
}

void addRun(TableSpreadCase& result, const Spread& spread, size_t reversals) {
  const bool first = result.runs == 0;
  result.half = first ? spread.half : worse(result.half, spread.half);
  result.nearlyAll = first ? spread.nearlyAll : worse(result.nearlyAll, spread.nearlyAll);
  result.all = first ? spread.all : worse(result.all, spread.all);
  result.bytesPerNode = std::max(result.bytesPerNode, spread.bytesPerNode);
  result.reversals += reversals;
  ++result.runs;
}

std::string cell(double milliseconds) {
  if (milliseconds < 0) {
    return "-";
  }
  char text[32];
  std::snprintf(text, sizeof(text), "%.0f", milliseconds);
  return text;
}

}  // namespace

std::vector<TableSpreadCase> measureTableSpread(uint32_t nodes, uint32_t zones, uint64_t seeds) {
  std::vector<TableSpreadCase> cases;
  for (const Situation& situation : kSituations) {
    TableSpreadCase result;
    result.nodes = nodes;
    result.situation = situation.name;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      TableClusterSettings settings;
      settings.nodes = nodes;
      settings.zones = zones;
      settings.seed = seed;
      TableCluster cluster(settings);
      loadTable(cluster);
      const Spread spread = situation.run(cluster);
      addRun(result, spread, cluster.reversals());
    }
    cases.push_back(result);
  }
  return cases;
}

std::string toMarkdown(const std::vector<TableSpreadCase>& cases) {
  std::string text =
      "| nodes | situation | 50 %, ms | 99 %, ms | 100 %, ms | bytes a node and change | "
      "reversals | runs |\n|---|---|---|---|---|---|---|---|\n";
  for (const TableSpreadCase& each : cases) {
    text += "| " + std::to_string(each.nodes) + " | " + each.situation + " | " + cell(each.half) +
            " | " + cell(each.nearlyAll) + " | " + cell(each.all) + " | " +
            (each.bytesPerNode == 0 ? "-" : cell(each.bytesPerNode)) + " | " +
            std::to_string(each.reversals) + " | " + std::to_string(each.runs) + " |\n";
  }
  return text;
}

}  // namespace fernmoor::bench
