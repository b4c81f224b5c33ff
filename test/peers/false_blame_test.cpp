/// @file
/// How often a request is blamed for crashes of others: a pool of engines at which two requests
/// that crash them come again and again, among streams of which each is asked once or twice and
/// lookups that are asked all the time. Nodes know what the request path would tell them.
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

#include "common/random.h"
#include "test/peers/quarantine_world.h"

namespace fernmoor::peers {

namespace {

constexpr uint64_t kNodes = 7;
constexpr uint64_t kEngines = 18;
/// Streams that begin each 10 ms, in the mean, and how long they run: a dozen at each engine.
constexpr double kStreamsBegun = 1.5;
constexpr Duration kStreamTime{1400000};
constexpr Duration kLookupTime{30000};
constexpr uint64_t kLookups = 5;
constexpr uint64_t kPoisons = 2;
constexpr uint64_t kFirstStream = 1000;
/// A caller of a stream that breaks off asks once more.
constexpr int kTries = 2;
constexpr Duration kPoisonTime{100000};
constexpr Duration kPoisonPause{700000};
constexpr Duration kEngineAway{2000000};
constexpr Duration kStep{10000};
constexpr Duration kPlayed{12000000};

/// How late the end of an engine shows, each drawn for each run: at once where the port is closed
/// when the connections break.
struct Lateness {
  Duration cutWithin{};   ///< A run is cut off so long after the end at most.
  Duration toldWithin{};  ///< The end is known so long after the run was cut off at most.
};
/// A silent engine is left after 1.5 s at most, and the list names it for up to 3.4 s.
constexpr Lateness kSilentEnds{Duration(1500000), Duration(3400000)};

struct Run {
  uint64_t fingerprint = 0;
  uint64_t node = 0;
  uint64_t engine = 0;
  int attempt = 1;
  Time beganAt;
  Time endsAt;
};

/// One play: who was quarantined that crashes nothing, of how many whose engine ended.
class Play {
 public:
  explicit Play(uint64_t seed, Lateness lateness = {})
      : world_(kNodes), random_(seed), lateness_(lateness) {}

  void run() {
    const Time end = world_.clock.now() + kPlayed;
    std::vector<Time> poisonAt(kPoisons + 1, world_.clock.now() + kPoisonPause);
    while (world_.clock.now() < end) {
      world_.clock.advanceTo(world_.clock.now() + kStep);
      const Time now = world_.clock.now();
      if (random_.chance(kStreamsBegun / 2)) {
        begin(++lastStream_, kStreamTime, 1);
        begin(++lastStream_, kStreamTime, 1);
      }
      begin(kPoisons + 1 + random_.below(kLookups), kLookupTime, 1);
      for (uint64_t poison = 1; poison <= kPoisons; ++poison) {
        if (now >= poisonAt[poison]) {
          begin(poison, kPoisonTime, 1);
          poisonAt[poison] = now + kPoisonTime + kPoisonPause;
        }
      }
      endRuns(now);
      tellEnds(now);
      for (uint64_t node = 1; node <= kNodes; ++node) {
        world_.node(node).onTick(now, world_.sender(NodeId(node)));
      }
    }
  }
  size_t blamed() {
    size_t count = 0;
    for (uint64_t fingerprint = kPoisons + 1; fingerprint <= lastStream_; ++fingerprint) {
      count += world_.quarantinedAt(fingerprint) > 0 ? 1 : 0;
    }
    return count;
  }
  bool foundAll() {
    bool all = true;
    for (uint64_t poison = 1; poison <= kPoisons; ++poison) {
      all = all && world_.quarantinedAt(poison) == kNodes;
    }
    return all;
  }
  size_t victims = 0;  ///< Runs of others that ended with an engine.

 private:
  void begin(uint64_t fingerprint, Duration time, int attempt) {
    const uint64_t node = 1 + random_.below(kNodes);
    const uint64_t engine = random_.below(kEngines);
    const Time now = world_.clock.now();
    if (now < awayUntil_[engine] || world_.node(node).isHeld(fingerprint) ||
        world_.node(node).timeLeft(fingerprint)) {
      return;
    }
    runs_.push_back(Run{fingerprint, node, engine, attempt, now, now + time});
  }
  void endRuns(Time now) {
    std::vector<Run> over;
    const auto split = std::partition(runs_.begin(), runs_.end(),
                                      [&](const Run& run) { return run.endsAt > now; });
    over.assign(split, runs_.end());
    runs_.erase(split, runs_.end());
    for (const Run& run : over) {
      if (run.fingerprint > kPoisons) {
        world_.node(run.node).noteServed(run.fingerprint);
      } else if (now >= awayUntil_[run.engine]) {
        endEngine(run, now);
      }
    }
  }
  void endEngine(const Run& poison, Time now) {
    awayUntil_[poison.engine] = now + kEngineAway;
    std::vector<Run> there{poison};
    const auto split = std::partition(runs_.begin(), runs_.end(),
                                      [&](const Run& run) { return run.engine != poison.engine; });
    there.insert(there.end(), split, runs_.end());
    runs_.erase(split, runs_.end());
    // Nodes report the crash in any order.
    for (size_t index = there.size(); index > 1; --index) {
      std::swap(there[index - 1], there[random_.below(index)]);
    }
    for (const Run& run : there) {
      const Time cutAt = now + within(lateness_.cutWithin);
      late_.push_back(LateEnd{run, cutAt, cutAt + within(lateness_.toldWithin), false});
      victims += run.fingerprint > kPoisons ? 1 : 0;
    }
    tellEnds(now);
  }
  Duration within(Duration most) {
    return most == Duration(0) ? most : random_.between(Duration(0), most);
  }
  /// Callers of streams ask again when they are cut off; nodes tell when they know of the end.
  void tellEnds(Time now) {
    std::vector<LateEnd> late;
    late.swap(late_);
    for (LateEnd& each : late) {
      if (now >= each.toldAt) {
        world_.node(each.run.node)
            .noteCrash(each.run.fingerprint,
                       quarantine::CrashedRun{each.run.engine, each.run.beganAt, each.cutAt});
      }
      if (now >= each.cutAt && !each.isCut) {
        each.isCut = true;
        if (each.run.fingerprint >= kFirstStream && each.run.attempt < kTries) {
          begin(each.run.fingerprint, kStreamTime, each.run.attempt + 1);
        }
      }
      if (now < each.toldAt) {
        late_.push_back(each);
      }
    }
  }

  /// A run that ended with its engine.
  struct LateEnd {
    Run run;
    Time cutAt;
    Time toldAt;
    bool isCut = false;
  };

  test::QuarantineWorld world_;
  Random random_;
  const Lateness lateness_;
  std::vector<LateEnd> late_;
  std::array<Time, kEngines> awayUntil_{};
  std::vector<Run> runs_;
  uint64_t lastStream_ = kFirstStream;
};

}  // namespace

TEST_CASE(
    "no request is blamed for the crashes of others, and those that crash engines are found") {
  size_t blamed = 0;
  size_t victims = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    Play play(seed);
    play.run();
    CHECK(play.foundAll());
    blamed += play.blamed();
    victims += play.victims;
  }
  CHECK(victims > 3000);
  CHECK(blamed == 0);
  MESSAGE(victims << " runs of others ended with an engine, " << blamed << " requests blamed");
}

TEST_CASE(
    "no request is blamed if crashes are detected seconds later, at a different time for each "
    "run") {
  size_t blamed = 0;
  size_t victims = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    Play play(seed, kSilentEnds);
    play.run();
    CHECK(play.foundAll());
    blamed += play.blamed();
    victims += play.victims;
  }
  CHECK(victims > 3000);
  CHECK(blamed == 0);
  MESSAGE(victims << " runs of others ended with an engine, " << blamed << " requests blamed");
}

}  // namespace fernmoor::peers
