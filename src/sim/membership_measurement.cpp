#include "sim/membership_measurement.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <functional>
#include <iomanip>
#include <sstream>
#include <vector>

namespace fernmoor::sim {

namespace {

constexpr Duration kLookInterval = std::chrono::milliseconds(20);
constexpr Duration kJoinLimit = std::chrono::seconds(120);
constexpr Duration kSpreadLimit = std::chrono::seconds(60);
/// Lets the news of one phase die down before the next.
constexpr Duration kSettle = std::chrono::seconds(10);
constexpr uint32_t kVersionChanges = 5;
constexpr uint32_t kCrashes = 5;
constexpr uint32_t kFewZones = 4;
constexpr double kMicroseconds = 1e6;

double processorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Seconds at which observations came in.
class Observations {
 public:
  explicit Observations(size_t expected) : expected_(expected) {}
  void add(double second, size_t count) { seconds_.insert(seconds_.end(), count, second); }
  SpreadTimes times() const { return SpreadTimes{at(0.5), at(0.99), at(1.0)}; }

 private:
  double at(double share) const {
    const auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(expected_)));
    if (rank == 0 || rank > seconds_.size()) {
      return -1;
    }
    std::vector<double> sorted = seconds_;
    std::sort(sorted.begin(), sorted.end());
    return sorted[rank - 1];
  }

  size_t expected_;
  std::vector<double> seconds_;
};

/// Runs the phases on one cluster.
class Measuring {
 public:
  Measuring(const MembershipClusterSettings& settings, uint32_t seconds)
      : settings_(settings), seconds_(seconds), cluster_(settings) {}

  MembershipMeasurement run() {
    const double processorStart = processorSeconds();
    const Time start = cluster_.cluster().now();
    result_.nodes = settings_.nodes;
    result_.zones = settings_.zones;
    result_.seed = settings_.seed;
    join();
    idle();
    changeVersions();
    drain();
    crash();
    result_.processorSeconds = processorSeconds() - processorStart;
    result_.virtualSeconds = toSeconds(cluster_.cluster().now() - start);
    return result_;
  }

 private:
  void join() {
    cluster_.startAll();
    const Duration took = cluster_.runUntilAgreed(kJoinLimit);
    result_.joinSeconds = took < kJoinLimit ? toSeconds(took) : -1;
    result_.joinBytesPerNode = bytesSent() / settings_.nodes;
    cluster_.run(kSettle);
  }

  void idle() {
    const MembershipCounters before = counters();
    cluster_.network().resetTraffic();
    const double processorStart = processorSeconds();
    cluster_.run(std::chrono::seconds(seconds_));
    const double nodeSeconds = static_cast<double>(settings_.nodes) * seconds_;
    result_.idleSeconds = seconds_;
    result_.cpuMicrosecondsPerSecond =
        (processorSeconds() - processorStart) / nodeSeconds * kMicroseconds;
    result_.idleBytesPerSecond = bytesSent() / nodeSeconds;
    result_.idleMessagesPerSecond = messagesSent() / nodeSeconds;
    result_.idleBusiestPerSecond = busiestBytesSent() / seconds_;
    result_.falseSuspicions = counters().suspicionsRaised - before.suspicionsRaised;
    result_.falseDeaths = counters().deaths - before.deaths;
  }

  void changeVersions() {
    Observations seen(static_cast<size_t>(settings_.nodes) * kVersionChanges);
    Observations confirmed(static_cast<size_t>(settings_.nodes) * kVersionChanges);
    for (uint32_t change = 1; change <= kVersionChanges; ++change) {
      const TableVersion version(change);
      const uint32_t origin = 1 + change % settings_.nodes;
      cluster_.network().resetTraffic();
      const Time start = cluster_.cluster().now();
      cluster_.role(origin).setLocalTableVersion(version);
      observe(seen, confirmed, version);
      cluster_.run(kSettle);
      const double idle = result_.idleBytesPerSecond * toSeconds(cluster_.cluster().now() - start);
      result_.versionBytesPerNode += (bytesSent() / settings_.nodes - idle) / kVersionChanges;
    }
    result_.versionSeen = seen.times();
    result_.versionConfirmed = confirmed.times();
  }

  void observe(Observations& seen, Observations& confirmed, TableVersion version) {
    const Time start = cluster_.cluster().now();
    uint32_t knowing = 0;
    uint32_t knowingAll = 0;
    while (knowingAll < settings_.nodes && cluster_.cluster().now() - start < kSpreadLimit) {
      cluster_.run(kLookInterval);
      const double elapsed = toSeconds(cluster_.cluster().now() - start);
      const uint32_t knowingNow = cluster_.countKnowing(version);
      const uint32_t knowingAllNow =
          knowingNow < settings_.nodes ? 0 : cluster_.countKnowingAllHave(version);
      seen.add(elapsed, knowingNow - knowing);
      confirmed.add(elapsed, knowingAllNow - std::min(knowingAll, knowingAllNow));
      knowing = knowingNow;
      knowingAll = std::max(knowingAll, knowingAllNow);
    }
  }

  void drain() {
    const uint32_t drained = settings_.nodes;
    Observations seen(settings_.nodes - 1);
    cluster_.role(drained).setDraining(true);
    observeState(
        seen, [this, drained] { return cluster_.countHolding(drained, MemberState::kDraining); },
        settings_.nodes - 1);
    result_.drainSeen = seen.times();
    cluster_.role(drained).setDraining(false);
    cluster_.run(kSettle);
  }

  void crash() {
    const uint32_t crashes = std::min(kCrashes, settings_.nodes / 2);
    const uint32_t observers = settings_.nodes - 1;
    Observations suspected(static_cast<size_t>(observers) * crashes);
    Observations dead(static_cast<size_t>(observers) * crashes);
    for (uint32_t crash = 0; crash < crashes; ++crash) {
      const uint32_t victim = settings_.nodes - crash * (settings_.nodes / crashes);
      cluster_.node(victim).crash();
      observeCrash(victim, observers, suspected, dead);
      cluster_.node(victim).start();
      cluster_.runUntilAgreed(kSpreadLimit);
      cluster_.run(kSettle);
    }
    result_.suspected = suspected.times();
    result_.dead = dead.times();
  }

  void observeCrash(uint32_t victim, uint32_t observers, Observations& suspected,
                    Observations& dead) {
    const Time start = cluster_.cluster().now();
    uint32_t suspecting = 0;
    uint32_t burying = 0;
    while (burying < observers && cluster_.cluster().now() - start < kSpreadLimit) {
      cluster_.run(kLookInterval);
      const double elapsed = toSeconds(cluster_.cluster().now() - start);
      const uint32_t deadNow = std::max(burying, cluster_.countHolding(victim, MemberState::kDead));
      const uint32_t suspectNow =
          std::max(suspecting, deadNow + cluster_.countHolding(victim, MemberState::kSuspect));
      suspected.add(elapsed, suspectNow - suspecting);
      dead.add(elapsed, deadNow - burying);
      suspecting = suspectNow;
      burying = deadNow;
    }
  }

  void observeState(Observations& seen, const std::function<uint32_t()>& count, uint32_t expected) {
    const Time start = cluster_.cluster().now();
    uint32_t known = 0;
    while (known < expected && cluster_.cluster().now() - start < kSpreadLimit) {
      cluster_.run(kLookInterval);
      const uint32_t knownNow = std::max(known, count());
      seen.add(toSeconds(cluster_.cluster().now() - start), knownNow - known);
      known = knownNow;
    }
  }

  double bytesSent() {
    double bytes = 0;
    for (const auto& node : cluster_.cluster().nodes()) {
      bytes += static_cast<double>(cluster_.network().trafficOf(node->placement().node).sent.bytes);
    }
    return bytes;
  }

  double messagesSent() {
    double messages = 0;
    for (const auto& node : cluster_.cluster().nodes()) {
      messages +=
          static_cast<double>(cluster_.network().trafficOf(node->placement().node).sent.messages);
    }
    return messages;
  }

  double busiestBytesSent() {
    uint64_t most = 0;
    for (const auto& node : cluster_.cluster().nodes()) {
      most = std::max(most, cluster_.network().trafficOf(node->placement().node).sent.bytes);
    }
    return static_cast<double>(most);
  }

  MembershipCounters counters() {
    MembershipCounters total;
    for (uint32_t id = 1; id <= settings_.nodes; ++id) {
      const MembershipCounters one = cluster_.role(id).counters();
      total.suspicionsRaised += one.suspicionsRaised;
      total.deaths += one.deaths;
    }
    return total;
  }

  MembershipClusterSettings settings_;
  uint32_t seconds_;
  MembershipCluster cluster_;
  MembershipMeasurement result_;
};

void writeTimes(std::ostream& out, const char* name, const SpreadTimes& times) {
  out << name << " 50/99/100 %: " << times.half << " / " << times.most << " / " << times.all
      << " s\n";
}

}  // namespace

MembershipMeasurement measureMembership(uint32_t nodes, uint32_t zones, uint32_t seconds,
                                        uint64_t seed) {
  MembershipClusterSettings settings;
  settings.nodes = nodes;
  settings.zones = zones;
  settings.regions = zones < kFewZones ? 1 : 2;
  settings.seed = seed;
  settings.followTableVersions = true;
  settings.network.throughCodec = true;
  return measureMembership(settings, seconds);
}

MembershipMeasurement measureMembership(const MembershipClusterSettings& settings,
                                        uint32_t seconds) {
  return Measuring(settings, seconds).run();
}

std::string toText(const MembershipMeasurement& measurement) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  out << measurement.nodes << " nodes, " << measurement.zones << " zones, seed " << measurement.seed
      << "\n";
  out << "joined: " << measurement.joinSeconds << " s, " << measurement.joinBytesPerNode
      << " bytes sent per node\n";
  out << "idle (" << measurement.idleSeconds << " s): " << measurement.idleMessagesPerSecond
      << " messages/s, " << measurement.idleBytesPerSecond << " bytes/s sent per node, busiest "
      << measurement.idleBusiestPerSecond << ", processor " << measurement.cpuMicrosecondsPerSecond
      << " us/s per node, false suspicions " << measurement.falseSuspicions << ", false deaths "
      << measurement.falseDeaths << "\n";
  writeTimes(out, "version seen", measurement.versionSeen);
  writeTimes(out, "version confirmed", measurement.versionConfirmed);
  out << "version change: " << measurement.versionBytesPerNode << " bytes sent per node\n";
  writeTimes(out, "drain seen", measurement.drainSeen);
  writeTimes(out, "crash suspected", measurement.suspected);
  writeTimes(out, "crash dead", measurement.dead);
  out << "run: " << measurement.processorSeconds << " s of processor for "
      << measurement.virtualSeconds << " virtual s\n";
  return out.str();
}

}  // namespace fernmoor::sim
