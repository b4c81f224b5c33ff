/// @file
/// Tests of src/quarantine/crash_evidence.h: which requests are suspected when engines crash.
#include "quarantine/crash_evidence.h"

#include <doctest/doctest.h>

namespace fernmoor::quarantine {

namespace {

constexpr uint64_t kPoison = 7;
constexpr uint64_t kVictim = 8;

Time at(int64_t milliseconds) {
  return Time(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

CrashedRun runAt(uint64_t engine, int64_t beganAt, int64_t endedAt) {
  return CrashedRun{engine, at(beganAt), at(endedAt)};
}

}  // namespace

TEST_CASE(
    "a request that was running when three engines crashed one after the other is suspected") {
  CrashEvidence evidence;
  CHECK_FALSE(evidence.note(kPoison, runAt(1, 0, 100), at(100)));
  CHECK_FALSE(evidence.note(kPoison, runAt(2, 800, 900), at(900)));
  const std::optional<Suspicion> suspicion = evidence.note(kPoison, runAt(3, 1600, 1700), at(1700));
  REQUIRE(suspicion.has_value());
  CHECK(suspicion->fingerprint == kPoison);
  CHECK(suspicion->runs.size() == 3);
  CHECK(suspicion->since() == at(0));
}

TEST_CASE("one crash of an engine counts once") {
  CrashEvidence evidence;
  SUBCASE("however many nodes report it") {
    for (int node = 0; node < 5; ++node) {
      CHECK_FALSE(evidence.note(kPoison, runAt(1, 0, 100 + node * 20), at(200)));
    }
    CHECK(evidence.runsOf(kPoison).size() == 1);
  }
  SUBCASE("and again after a restart under the same name, which may not be listed yet") {
    CHECK_FALSE(evidence.note(kPoison, runAt(1, 0, 100), at(100)));
    CHECK_FALSE(evidence.note(kPoison, runAt(1, 3000, 3100), at(3100)));
    CHECK(evidence.note(kPoison, runAt(1, 6000, 6100), at(6100)));
  }
}

TEST_CASE("engines that crash at the same time, as with a rack, count as one event") {
  CrashEvidence evidence;
  for (uint64_t engine = 1; engine <= 4; ++engine) {
    CHECK_FALSE(
        evidence.note(kVictim, runAt(engine, static_cast<int64_t>(engine) * 10, 500), at(500)));
  }
  SUBCASE("a request that is retried and crashes another engine soon after is not suspected yet") {
    CHECK_FALSE(evidence.note(kVictim, runAt(9, 1200, 1300), at(1300)));
    CHECK_FALSE(evidence.note(kVictim, runAt(10, 1210, 1310), at(1310)));
    SUBCASE("but is once it crashes an engine in a third step") {
      CHECK(evidence.note(kVictim, runAt(11, 2000, 2100), at(2100)));
    }
  }
  SUBCASE("a request that crashes another engine seconds later is suspected after two steps") {
    CHECK(evidence.note(kVictim, runAt(9, 3400, 3500), at(3500)));
  }
  SUBCASE("a request that is served in between starts over") {
    evidence.clear(kVictim);
    CHECK_FALSE(evidence.note(kVictim, runAt(9, 1200, 1300), at(1300)));
  }
}

TEST_CASE(
    "runs of a process with known start count as one crash, however far apart they were cut off") {
  CrashEvidence evidence;
  CrashedRun first = runAt(1, 0, 100);
  CrashedRun later = runAt(1, 2000, 3500);
  size_t crashes = 2;
  SUBCASE("its start is known") {
    first.startKnown = later.startKnown = true;
    crashes = 1;
  }
  SUBCASE("its start is not known") {}
  evidence.note(kVictim, first, at(100));
  evidence.note(kVictim, later, at(3500));
  CHECK(evidence.runsOf(kVictim).size() == crashes);
}

TEST_CASE("crashes that one request explains do not count against others") {
  CrashEvidence evidence;
  evidence.note(kVictim, runAt(1, 0, 100), at(100));
  evidence.note(kVictim, runAt(2, 800, 900), at(900));
  SUBCASE("crashes that are held already") {
    evidence.explain(kPoison, {runAt(1, 50, 110), runAt(2, 850, 890)});
    CHECK(evidence.runsOf(kVictim).empty());
  }
  SUBCASE("crashes that are reported later") {
    evidence.explain(kPoison, {runAt(3, 1600, 1700)});
    CHECK_FALSE(evidence.note(kVictim, runAt(3, 1550, 1720), at(1730)));
    CHECK(evidence.runsOf(kVictim).size() == 2);
  }
  SUBCASE("but not a crash of the same engine seconds later") {
    evidence.explain(kPoison, {runAt(3, 1600, 1700)});
    CHECK(evidence.note(kVictim, runAt(3, 4600, 4700), at(4700)));
  }
}

TEST_CASE("a request that can't be told apart from another one needs a further crash") {
  CrashEvidence evidence;
  for (uint64_t engine = 1; engine <= 3; ++engine) {
    const auto began = static_cast<int64_t>(engine) * 1000;
    evidence.note(kPoison, runAt(engine, began, began + 100), at(began + 100));
  }
  CHECK(evidence.requireOneMoreCrash(kPoison));
  CHECK_FALSE(evidence.note(kPoison, runAt(3, 3050, 3100), at(3200)));
  CHECK(evidence.note(kPoison, runAt(4, 4000, 4100), at(4100)));
  CHECK(evidence.requireOneMoreCrash(kPoison));
  CHECK(evidence.note(kPoison, runAt(5, 5000, 5100), at(5100)));
  CHECK_FALSE(evidence.requireOneMoreCrash(kPoison));
}

TEST_CASE("while no fewer engines crash without a request than with it, five crashes are needed") {
  CrashEvidence evidence;
  for (uint64_t engine = 1; engine <= 4; ++engine) {
    const auto began = static_cast<int64_t>(engine) * 1000;
    evidence.noteEnd(runAt(100 + engine, began, began + 50));
    CHECK_FALSE(evidence.note(kVictim, runAt(engine, began, began + 100), at(began + 100)));
  }
  SUBCASE("five crashes") {
    CHECK(evidence.note(kVictim, runAt(5, 5000, 5100), at(5100)));
  }
  SUBCASE("crashes that another request explains don't count") {
    evidence.explain(kPoison, {runAt(101, 1000, 1050)});
    CHECK(evidence.suspicionOf(kVictim));
  }
  SUBCASE("crashes before its first run don't count") {
    evidence.noteEnd(runAt(200, 0, 500));
    evidence.explain(kPoison, {runAt(101, 1000, 1050)});
    CHECK(evidence.suspicionOf(kVictim));
  }
}

TEST_CASE("evidence expires and is bounded in number") {
  CrashEvidence evidence;
  evidence.note(kPoison, runAt(1, 0, 100), at(100));
  evidence.note(kPoison, runAt(2, 800, 900), at(900));
  SUBCASE("a request that comes back much later starts over") {
    constexpr int64_t later = 660000;  // 11 minutes.
    CHECK_FALSE(evidence.note(kPoison, runAt(3, later, later + 100), at(later + 100)));
  }
  SUBCASE("a flood of requests with one crash each evicts none with two") {
    for (uint64_t fingerprint = 100; fingerprint < 20000; ++fingerprint) {
      evidence.note(fingerprint, runAt(3, 1000, 1100), at(1100));
    }
    CHECK(evidence.size() <= 2048);
    CHECK(evidence.note(kPoison, runAt(4, 1600, 1700), at(1700)));
  }
}

}  // namespace fernmoor::quarantine
