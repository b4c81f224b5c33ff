/// @file
/// Measures how often a request is quarantined for crashes that another request caused. Two
/// requests that crash engines are repeated on a pool of engines, among streams that are sent once
/// or twice and lookups that are sent continuously. Nodes get the reports of the request path.
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

#include "common/random.h"
#include "test/peers/quarantine_world.h"

namespace fernmoor::peers {

namespace {

constexpr uint64_t kNodes = 7;
constexpr uint64_t kEngines = 18;
/// Mean number of streams that begin every 10 ms, and their duration: about a dozen per engine.
constexpr double kStreamsBegun = 1.5;
constexpr Duration kStreamTime{1400000};
constexpr Duration kLookupTime{30000};
constexpr uint64_t kLookups = 5;
constexpr uint64_t kPoisons = 2;
constexpr uint64_t kFirstStream = 1000;
/// The caller of an interrupted stream retries once.
constexpr int kTries = 2;
constexpr Duration kPoisonTime{100000};
constexpr Duration kPoisonInterval{700000};
constexpr Duration kEngineUnavailable{2000000};
constexpr Duration kStep{10000};
constexpr Duration kSimulatedTime{12000000};

/// Bounds of the delay until the crash of an engine is detected, drawn for each run; zero where
/// the port is closed when the connections break.
struct DetectionDelay {
  Duration cutWithin{};       ///< Maximum time from the crash to the interruption of a run.
  Duration reportedWithin{};  ///< Maximum time from the interruption to the report.
};
/// A run on an unresponsive engine is interrupted after at most 1.5 s, and the list still has the
/// engine for up to 3.4 s.
constexpr DetectionDelay kUnresponsiveEngines{Duration(1500000), Duration(3400000)};

/// Streams, and crashes of engines that no request causes.
struct Conditions {
  Duration streamTime = kStreamTime;
  int tries = kTries;
  double endsPerStep = 0;  ///< Mean number of engines that end in each kStep.
};
/// As in the soak with two software versions: an engine ends about every 700 ms, and callers take
/// up streams of slow engines several times.
constexpr Conditions kEnginesEndByThemselves{Duration(3000000), 6, 0.014};

struct Run {
  uint64_t fingerprint = 0;
  uint64_t node = 0;
  uint64_t engine = 0;
  int attempt = 1;
  Time beganAt;
  Time endsAt;
};

/// One simulation; counts the harmless requests that were quarantined and the runs that were
/// interrupted by a crash.
class Simulation {
 public:
  explicit Simulation(uint64_t seed, DetectionDelay detectionDelay = {}, Conditions conditions = {})
      : world_(kNodes), random_(seed), detectionDelay_(detectionDelay), conditions_(conditions) {}

  void run() {
    const Time end = world_.clock.now() + kSimulatedTime;
    std::vector<Time> poisonAt(kPoisons + 1, world_.clock.now() + kPoisonInterval);
    while (world_.clock.now() < end) {
      world_.clock.advanceTo(world_.clock.now() + kStep);
      const Time now = world_.clock.now();
      if (random_.chance(kStreamsBegun / 2)) {
        begin(++lastStream_, conditions_.streamTime, 1);
        begin(++lastStream_, conditions_.streamTime, 1);
      }
      begin(kPoisons + 1 + random_.below(kLookups), kLookupTime, 1);
      for (uint64_t poison = 1; poison <= kPoisons; ++poison) {
        if (now >= poisonAt[poison]) {
          begin(poison, kPoisonTime, 1);
          poisonAt[poison] = now + kPoisonTime + kPoisonInterval;
        }
      }
      if (conditions_.endsPerStep > 0 && random_.chance(conditions_.endsPerStep)) {
        endEngine(random_.below(kEngines), now);
      }
      endRuns(now);
      reportEnds(now);
      for (uint64_t node = 1; node <= kNodes; ++node) {
        world_.node(node).onTick(now, world_.sender(NodeId(node)));
      }
    }
  }
  size_t falselyQuarantined() {
    size_t count = 0;
    for (uint64_t fingerprint = kPoisons + 1; fingerprint <= lastStream_; ++fingerprint) {
      count += world_.quarantinedAt(fingerprint) > 0 ? 1 : 0;
    }
    return count;
  }
  bool allPoisonsQuarantined() {
    bool all = true;
    for (uint64_t poison = 1; poison <= kPoisons; ++poison) {
      all = all && world_.quarantinedAt(poison) == kNodes;
    }
    return all;
  }
  size_t victims = 0;  ///< Runs of harmless requests interrupted by a crash.

 private:
  void begin(uint64_t fingerprint, Duration time, int attempt) {
    const uint64_t node = 1 + random_.below(kNodes);
    const uint64_t engine = random_.below(kEngines);
    const Time now = world_.clock.now();
    if (now < unavailableUntil_[engine] || world_.node(node).isHeld(fingerprint) ||
        world_.node(node).timeLeft(fingerprint)) {
      return;
    }
    runs_.push_back(Run{fingerprint, node, engine, attempt, now, now + time});
  }
  void endRuns(Time now) {
    std::vector<Run> finished;
    const auto split = std::partition(runs_.begin(), runs_.end(),
                                      [&](const Run& run) { return run.endsAt > now; });
    finished.assign(split, runs_.end());
    runs_.erase(split, runs_.end());
    for (const Run& run : finished) {
      if (run.fingerprint > kPoisons) {
        world_.node(run.node).noteServed(run.fingerprint);
      } else if (now >= unavailableUntil_[run.engine]) {
        runs_.push_back(run);  // It ends with its engine.
        endEngine(run.engine, now);
      }
    }
  }
  void endEngine(uint64_t engine, Time now) {
    unavailableUntil_[engine] = now + kEngineUnavailable;
    const auto split = std::partition(runs_.begin(), runs_.end(),
                                      [&](const Run& run) { return run.engine != engine; });
    std::vector<Run> runsOnEngine(split, runs_.end());
    runs_.erase(split, runs_.end());
    // Nodes report the crash in any order.
    for (size_t index = runsOnEngine.size(); index > 1; --index) {
      std::swap(runsOnEngine[index - 1], runsOnEngine[random_.below(index)]);
    }
    for (const Run& run : runsOnEngine) {
      const Time cutAt = now + within(detectionDelay_.cutWithin);
      pendingEnds_.push_back(
          InterruptedRun{run, cutAt, cutAt + within(detectionDelay_.reportedWithin), false});
      victims += run.fingerprint > kPoisons ? 1 : 0;
    }
    reportEnds(now);
  }
  Duration within(Duration most) {
    return most == Duration(0) ? most : random_.between(Duration(0), most);
  }
  /// Callers of streams retry when they are interrupted; nodes report crashes once detected.
  void reportEnds(Time now) {
    std::vector<InterruptedRun> pending;
    pending.swap(pendingEnds_);
    for (InterruptedRun& each : pending) {
      if (now >= each.reportedAt) {
        world_.node(each.run.node)
            .noteCrash(each.run.fingerprint,
                       quarantine::CrashedRun{each.run.engine, each.run.beganAt, each.cutAt});
      }
      if (now >= each.cutAt && !each.isCut) {
        each.isCut = true;
        if (each.run.fingerprint >= kFirstStream && each.run.attempt < conditions_.tries) {
          begin(each.run.fingerprint, conditions_.streamTime, each.run.attempt + 1);
        }
      }
      if (now < each.reportedAt) {
        pendingEnds_.push_back(each);
      }
    }
  }

  /// A run that a crash interrupted.
  struct InterruptedRun {
    Run run;
    Time cutAt;
    Time reportedAt;
    bool isCut = false;
  };

  test::QuarantineWorld world_;
  Random random_;
  const DetectionDelay detectionDelay_;
  const Conditions conditions_;
  std::vector<InterruptedRun> pendingEnds_;
  std::array<Time, kEngines> unavailableUntil_{};
  std::vector<Run> runs_;
  uint64_t lastStream_ = kFirstStream;
};

}  // namespace

TEST_CASE("only requests that crash engines are quarantined") {
  size_t falselyQuarantined = 0;
  size_t victims = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    Simulation simulation(seed);
    simulation.run();
    CHECK(simulation.allPoisonsQuarantined());
    falselyQuarantined += simulation.falselyQuarantined();
    victims += simulation.victims;
  }
  CHECK(victims > 3000);
  CHECK(falselyQuarantined == 0);
  MESSAGE(victims << " runs of harmless requests interrupted, " << falselyQuarantined
                  << " of these requests quarantined");
}

TEST_CASE(
    "only requests that crash engines are quarantined if each run detects a crash at a "
    "different time, seconds later") {
  size_t falselyQuarantined = 0;
  size_t victims = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    Simulation simulation(seed, kUnresponsiveEngines);
    simulation.run();
    CHECK(simulation.allPoisonsQuarantined());
    falselyQuarantined += simulation.falselyQuarantined();
    victims += simulation.victims;
  }
  CHECK(victims > 3000);
  CHECK(falselyQuarantined == 0);
  MESSAGE(victims << " runs of harmless requests interrupted, " << falselyQuarantined
                  << " of these requests quarantined");
}

/// A stream that meets five crashes in a row can't be told from one that causes them.
TEST_CASE(
    "a stream that meets several crashes of engines that end by themselves is rarely blamed") {
  size_t falselyQuarantined = 0;
  size_t victims = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    Simulation simulation(seed, {}, kEnginesEndByThemselves);
    simulation.run();
    CHECK(simulation.allPoisonsQuarantined());
    falselyQuarantined += simulation.falselyQuarantined();
    victims += simulation.victims;
  }
  CHECK(victims > 3000);
  // Before crashes without the request were counted, one in 570 was blamed.
  constexpr size_t kVictimsPerBlame = 2000;
  CHECK(falselyQuarantined * kVictimsPerBlame <= victims);
  MESSAGE(victims << " runs of harmless requests interrupted, " << falselyQuarantined
                  << " of these requests quarantined");
}

}  // namespace fernmoor::peers
