#include "bench/spread_scenarios.h"

#include <cmath>
#include <cstdio>

#include "sim/membership_cluster.h"
#include "sim/table_cluster.h"

namespace fernmoor::bench {

namespace {

constexpr Duration kSettleTime{6000000};
constexpr Duration kLimit{60000000};

/// How many nodes are to have the version: `before` plus a part of the others.
struct Goal {
  double before = 0;
  double wanted = 0;
};

class TableScenarios {
 public:
  explicit TableScenarios(const SpreadOptions& options)
      : options_(options), cluster_(settingsOf(options)) {
    cluster_.run(kSettleTime);
    std::vector<Row> rows;
    for (size_t index = 0; index < options.rows; ++index) {
      rows.push_back(sim::exampleTableRow(index));
    }
    version_ = cluster_.store(rows);
    cluster_.runUntilInForce(version_, 1, kLimit);
    cluster_.run(kSettleTime);
  }

  SpreadTimes changeRow() {
    version_ = change();
    return measure("one row changed", Goal{0, nodes()});
  }

  /// Cuts a zone off from the other zones and the platform, changes a row, and heals.
  std::vector<SpreadTimes> cutZone() {
    const ZoneId zone = firstPlacement().zone;
    double inside = 0;
    for (const auto& node : cluster_.cluster().nodes()) {
      inside += node->placement().zone == zone ? 1 : 0;
    }
    cluster_.cluster().network().isolateZone(zone);
    cluster_.setPlatformCut(zone, true);
    version_ = change();
    std::vector<SpreadTimes> times;
    times.push_back(measure("one zone cut off: the other zones", Goal{0, nodes() - inside}));
    cluster_.run(kSettleTime);
    cluster_.cluster().network().healAll();
    cluster_.setPlatformCut(zone, false);
    times.push_back(measure("after the cut healed: the zone", Goal{nodes() - inside, inside}));
    return times;
  }

  SpreadTimes replaceNodes() {
    cluster_.run(kSettleTime);
    for (uint32_t number = 1; number <= options_.replaced; ++number) {
      cluster_.cluster().node(nodeAt(number)).start();
    }
    const auto replaced = static_cast<double>(options_.replaced);
    return measure(std::to_string(options_.replaced) + " nodes replaced at once: these",
                   Goal{nodes() - replaced, replaced});
  }

  SpreadTimes restartHerd() {
    cluster_.run(kSettleTime);
    for (const auto& node : cluster_.cluster().nodes()) {
      node->start();
    }
    return measure("all nodes restarted at once", Goal{0, nodes()});
  }

  size_t reversals() const { return cluster_.reversals(); }

 private:
  static sim::TableClusterSettings settingsOf(const SpreadOptions& options) {
    sim::TableClusterSettings settings;
    settings.nodes = options.nodes;
    settings.zones = options.zones;
    settings.seed = options.seed;
    return settings;
  }

  double nodes() const { return static_cast<double>(options_.nodes); }
  const sim::Placement& firstPlacement() { return cluster_.cluster().nodes().front()->placement(); }
  /// Spreads the chosen nodes over the whole deployment.
  NodeId nodeAt(uint32_t number) const { return NodeId(1 + (number * 5) % options_.nodes); }
  TableVersion change() { return cluster_.store({sim::exampleTableRow(changes_++)}); }

  SpreadTimes measure(const std::string& scenario, const Goal& goal) {
    const Time begin = cluster_.cluster().now();
    SpreadTimes times;
    times.scenario = scenario;
    times.half = timeUntil(goal, 0.5, begin);
    times.ninetyNine = timeUntil(goal, 0.99, begin);
    times.all = timeUntil(goal, 1, begin);
    return times;
  }

  std::optional<Duration> timeUntil(const Goal& goal, double part, Time begin) {
    const auto wanted = static_cast<size_t>(goal.before + std::ceil(goal.wanted * part));
    const bool reached = cluster_.cluster().queue().runUntil(
        begin + kLimit, [&] { return cluster_.nodesWith(version_) >= wanted; });
    if (!reached) {
      return std::nullopt;
    }
    return cluster_.cluster().now() - begin;
  }

  SpreadOptions options_;
  sim::TableCluster cluster_;
  TableVersion version_;
  size_t changes_ = 0;
};

std::optional<Duration> agreement(sim::MembershipCluster& cluster) {
  const Duration time = cluster.runUntilAgreed(kLimit);
  return time < kLimit ? std::optional<Duration>(time) : std::nullopt;
}

std::string cell(const std::optional<Duration>& time) {
  if (!time) {
    return " - |";
  }
  char text[32];
  std::snprintf(text, sizeof(text), " %.2f |", toSeconds(*time));
  return text;
}

}  // namespace

std::vector<SpreadTimes> measureTableScenarios(const SpreadOptions& options) {
  TableScenarios scenarios(options);
  std::vector<SpreadTimes> times;
  times.push_back(scenarios.changeRow());
  for (const SpreadTimes& one : scenarios.cutZone()) {
    times.push_back(one);
  }
  times.push_back(scenarios.replaceNodes());
  times.push_back(scenarios.restartHerd());
  return times;
}

std::vector<SpreadTimes> measureMembershipScenarios(const SpreadOptions& options) {
  sim::MembershipClusterSettings settings;
  settings.nodes = options.nodes;
  settings.zones = options.zones;
  settings.regions = options.zones > 1 ? 2 : 1;
  settings.seed = options.seed;
  sim::MembershipCluster cluster(settings);
  std::vector<SpreadTimes> times;
  cluster.startAll();
  times.push_back({"members agree: all nodes started at once", {}, {}, agreement(cluster)});
  cluster.run(kSettleTime);
  cluster.node(2).crash();
  times.push_back({"members agree: one node crashed", {}, {}, agreement(cluster)});
  cluster.node(2).start();
  cluster.run(kSettleTime);
  for (uint32_t number = 1; number <= options.replaced; ++number) {
    cluster.node(1 + (number * 5) % options.nodes).start();
  }
  times.push_back({"members agree: " + std::to_string(options.replaced) + " nodes replaced at once",
                   {},
                   {},
                   agreement(cluster)});
  return times;
}

std::string toMarkdown(const std::vector<SpreadTimes>& scenarios) {
  std::string text = "| scenario | 50 % (s) | 99 % (s) | 100 % (s) |\n|---|---|---|---|\n";
  for (const SpreadTimes& one : scenarios) {
    text +=
        "| " + one.scenario + " |" + cell(one.half) + cell(one.ninetyNine) + cell(one.all) + "\n";
  }
  return text;
}

}  // namespace fernmoor::bench
