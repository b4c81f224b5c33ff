/// @file
/// Tests of the claim protocol under faults generated from seeds: a key runs at most once, "not
/// run" is reported correctly, and progress resumes once the faults end. For each rule, the checks
/// must fail when it is disabled.
#include <doctest/doctest.h>

#include "claim_world.h"

namespace fernmoor {

namespace {

constexpr uint64_t kSeeds = 150;

ClaimWorldOptions withCrashes() {
  ClaimWorldOptions options;
  options.crashes = 3;
  return options;
}

/// Votes of an earlier incarnation arrive together with votes of a later one.
ClaimWorldOptions withCrashesAndLateMessages() {
  ClaimWorldOptions options;
  options.crashes = 5;
  options.lateProbability = 0.5;
  options.duplicateProbability = 0.0;
  options.sendsPerKey = 6;
  options.keys = 8;
  return options;
}

ClaimWorldOptions withGroupChange(int crashes) {
  ClaimWorldOptions options;
  options.changesGroup = true;
  options.crashes = crashes;
  return options;
}

ClaimWorldOptions withRestartOfAllNodes() {
  ClaimWorldOptions options;
  options.restartsAllNodes = true;
  return options;
}

bool isSafe(const ClaimWorldReport& report) {
  return report.doubleRuns == 0 && report.falseNotRun == 0 && report.wrongAnswers == 0;
}

/// Runs all seeds with all rules. @param expectsNoStuckKeys every key must end in this scenario.
void checkAllSeeds(const ClaimWorldOptions& options, bool expectsNoStuckKeys) {
  int runs = 0;
  int recorded = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    const ClaimWorldReport report = ClaimWorld(seed, options, ClaimRules{}).run();
    CHECK(report.doubleRuns == 0);
    CHECK(report.falseNotRun == 0);
    CHECK(report.wrongAnswers == 0);
    CHECK(report.unresolved == 0);
    CHECK(report.freshKeysRejected == 0);
    if (expectsNoStuckKeys) {
      CHECK(report.stuckKeys == 0);
    }
    runs += report.runs;
    recorded += report.recorded;
  }
  CHECK(runs > 0);
  CHECK(recorded > 0);
}

/// @return true if the checks fail for at least one seed with the given rules.
bool failsForSomeSeed(const ClaimWorldOptions& options, const ClaimRules& rules, uint64_t seeds) {
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    if (!isSafe(ClaimWorld(seed, options, rules).run())) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_CASE("a key runs at most once and none is lost with lost, late and duplicated messages") {
  checkAllSeeds(ClaimWorldOptions{}, true);
}

TEST_CASE("a key runs at most once when nodes lose their state") {
  checkAllSeeds(withCrashes(), false);
}

TEST_CASE("a key runs at most once when late messages reach nodes that lost their state") {
  checkAllSeeds(withCrashesAndLateMessages(), false);
}

TEST_CASE("a key runs at most once when the group changes") {
  // Dispatchers that compete for a key while the group changes may void it.
  checkAllSeeds(withGroupChange(0), false);
}

TEST_CASE("a key runs at most once when the group changes while nodes lose their state") {
  checkAllSeeds(withGroupChange(3), false);
}

TEST_CASE("a key runs at most once when all nodes lose their state at once") {
  checkAllSeeds(withRestartOfAllNodes(), false);
}

TEST_CASE("without a rule of the protocol the checks fail") {
  constexpr uint64_t kManySeeds = 3000;
  ClaimRules rules;
  SUBCASE("majority vote") {
    rules.majorityVote = false;
    CHECK(failsForSomeSeed(ClaimWorldOptions{}, rules, kManySeeds));
  }
  SUBCASE("first claim wins") {
    rules.firstClaimWins = false;
    CHECK(failsForSomeSeed(ClaimWorldOptions{}, rules, kManySeeds));
  }
  SUBCASE("voting while empty") {
    rules.silentWhileEmpty = false;
    CHECK(failsForSomeSeed(withCrashes(), rules, kManySeeds));
  }
  SUBCASE("sealing before a new epoch votes") {
    rules.sealBeforeVote = false;
    CHECK(failsForSomeSeed(withGroupChange(0), rules, kManySeeds));
  }
  SUBCASE("birth check") {
    rules.birthCheck = false;
    CHECK(failsForSomeSeed(withRestartOfAllNodes(), rules, kManySeeds));
  }
  SUBCASE("crash vectors") {
    rules.crashVectors = false;
    CHECK(failsForSomeSeed(withCrashesAndLateMessages(), rules, kManySeeds));
  }
  SUBCASE("voiding conflicts") {
    rules.voidConflicts = false;
    CHECK(failsForSomeSeed(withCrashes(), rules, kManySeeds));
  }
}

TEST_CASE("without tombstones a late claim of a released attempt blocks its key") {
  ClaimRules rules;
  rules.tombstones = false;
  int stuck = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    stuck += ClaimWorld(seed, ClaimWorldOptions{}, rules).run().stuckKeys;
  }
  CHECK(stuck > 0);
}

}  // namespace fernmoor
