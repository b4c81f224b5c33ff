/// @file
/// Tests of src/quarantine/crash_evidence.h: who is suspected when engines end.
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

TEST_CASE("a request under which three engines ended, one after the other, is suspected") {
  CrashEvidence evidence;
  CHECK_FALSE(evidence.note(kPoison, runAt(1, 0, 100), at(100)));
  CHECK_FALSE(evidence.note(kPoison, runAt(2, 800, 900), at(900)));
  const std::optional<Suspicion> suspicion = evidence.note(kPoison, runAt(3, 1600, 1700), at(1700));
  REQUIRE(suspicion.has_value());
  CHECK(suspicion->fingerprint == kPoison);
  CHECK(suspicion->runs.size() == 3);
  CHECK(suspicion->since() == at(0));
}

TEST_CASE("one end of an engine counts once") {
  CrashEvidence evidence;
  SUBCASE("however many nodes tell of it") {
    for (int node = 0; node < 5; ++node) {
      CHECK_FALSE(evidence.note(kPoison, runAt(1, 0, 100 + node * 20), at(200)));
    }
    CHECK(evidence.runsOf(kPoison).size() == 1);
  }
  SUBCASE("and once more after it started again under its name, which the list may not tell yet") {
    CHECK_FALSE(evidence.note(kPoison, runAt(1, 0, 100), at(100)));
    CHECK_FALSE(evidence.note(kPoison, runAt(1, 3000, 3100), at(3100)));
    CHECK(evidence.note(kPoison, runAt(1, 6000, 6100), at(6100)));
  }
}

TEST_CASE("engines that end at the same moment, as with a rack, are one event") {
  CrashEvidence evidence;
  for (uint64_t engine = 1; engine <= 4; ++engine) {
    CHECK_FALSE(
        evidence.note(kVictim, runAt(engine, static_cast<int64_t>(engine) * 10, 500), at(500)));
  }
  SUBCASE("what is sent again and crashes another one at once is not suspected yet") {
    CHECK_FALSE(evidence.note(kVictim, runAt(9, 1200, 1300), at(1300)));
    CHECK_FALSE(evidence.note(kVictim, runAt(10, 1210, 1310), at(1310)));
    SUBCASE("but when it crashes one in a third step") {
      CHECK(evidence.note(kVictim, runAt(11, 2000, 2100), at(2100)));
    }
  }
  SUBCASE("what crashes another one seconds later is suspected, though these are two steps only") {
    CHECK(evidence.note(kVictim, runAt(9, 3400, 3500), at(3500)));
  }
  SUBCASE("what is served in between begins anew") {
    evidence.clear(kVictim);
    CHECK_FALSE(evidence.note(kVictim, runAt(9, 1200, 1300), at(1300)));
  }
}

TEST_CASE("a process whose start is known ends once, however far apart its runs were cut off") {
  CrashEvidence evidence;
  CrashedRun first = runAt(1, 0, 100);
  CrashedRun later = runAt(1, 2000, 3500);
  size_t ends = 2;
  SUBCASE("its start is known") {
    first.startKnown = later.startKnown = true;
    ends = 1;
  }
  SUBCASE("its start is not known") {}
  evidence.note(kVictim, first, at(100));
  evidence.note(kVictim, later, at(3500));
  CHECK(evidence.runsOf(kVictim).size() == ends);
}

TEST_CASE("ends that another request explains count against nobody else") {
  CrashEvidence evidence;
  evidence.note(kVictim, runAt(1, 0, 100), at(100));
  evidence.note(kVictim, runAt(2, 800, 900), at(900));
  SUBCASE("those held already") {
    evidence.explain(kPoison, {runAt(1, 50, 110), runAt(2, 850, 890)});
    CHECK(evidence.runsOf(kVictim).empty());
  }
  SUBCASE("and those told later") {
    evidence.explain(kPoison, {runAt(3, 1600, 1700)});
    CHECK_FALSE(evidence.note(kVictim, runAt(3, 1550, 1720), at(1730)));
    CHECK(evidence.runsOf(kVictim).size() == 2);
  }
  SUBCASE("not those of other engines, or of the same one seconds later") {
    evidence.explain(kPoison, {runAt(3, 1600, 1700)});
    CHECK(evidence.note(kVictim, runAt(3, 4600, 4700), at(4700)));
  }
}

TEST_CASE("a request that could not be told from another one needs a further end") {
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

TEST_CASE("evidence is forgotten after a time, and bounded in number") {
  CrashEvidence evidence;
  evidence.note(kPoison, runAt(1, 0, 100), at(100));
  evidence.note(kPoison, runAt(2, 800, 900), at(900));
  SUBCASE("a request that comes back much later begins anew") {
    constexpr int64_t later = 660000;  // 11 minutes.
    CHECK_FALSE(evidence.note(kPoison, runAt(3, later, later + 100), at(later + 100)));
  }
  SUBCASE("a flood of requests that each saw one end pushes out none that saw two") {
    for (uint64_t fingerprint = 100; fingerprint < 20000; ++fingerprint) {
      evidence.note(fingerprint, runAt(3, 1000, 1100), at(1100));
    }
    CHECK(evidence.size() <= 2048);
    CHECK(evidence.note(kPoison, runAt(4, 1600, 1700), at(1700)));
  }
}

}  // namespace fernmoor::quarantine
