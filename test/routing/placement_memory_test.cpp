/// @file
/// Tests of src/routing/placement_memory.h.
#include "routing/placement_memory.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

constexpr Time kNow{Duration(1000000)};

BlockChain chainOf(uint64_t first, size_t blocks) {
  BlockChain chain;
  for (size_t block = 0; block < blocks; ++block) {
    chain.hashes.push_back(first + block);
  }
  return chain;
}

EngineLife lifeOf(uint64_t incarnation) {
  return EngineLife{EngineId("engine"), Incarnation(incarnation)};
}

}  // namespace

TEST_CASE(
    "a recently sent prefix is expected only on that engine incarnation and for a limited time") {
  PlacementMemory memory{Knobs{}};
  memory.recordSent(lifeOf(1), chainOf(1000, 100), 1600, kNow);
  BlockChain related = chainOf(1000, 40);
  related.hashes.resize(100, 7);
  CHECK(memory.expectedBlocks(lifeOf(1), related, kNow) == 40);
  CHECK(memory.expectedBlocks(lifeOf(2), related, kNow) == 0);
  const Time later = kNow + Duration(4000000);
  CHECK(memory.expectedBlocks(lifeOf(1), related, later) == 0);
  memory.expire(later);
  CHECK(memory.markCount() == 0);
}

TEST_CASE("only load added after the engine's report is counted on top of it") {
  PlacementMemory memory{Knobs{}};
  memory.recordSent(lifeOf(1), chainOf(1000, 10), 160, kNow);
  memory.recordSent(lifeOf(1), chainOf(2000, 10), 100, kNow + Duration(10));
  memory.recordEnded(lifeOf(1), kNow + Duration(20));
  EngineLoad report;
  report.measuredAt = kNow - Duration(1);
  CHECK(memory.loadAddedSince(lifeOf(1), report).prefillTokens == 260);
  CHECK(memory.loadAddedSince(lifeOf(1), report).streams == 1);
  report.measuredAt = kNow;
  CHECK(memory.loadAddedSince(lifeOf(1), report).prefillTokens == 100);
  report.measuredAt = kNow + Duration(10);
  CHECK(memory.loadAddedSince(lifeOf(1), report).streams == -1);
}

TEST_CASE("time in which the engine was idle does not reduce the queue of a later request") {
  PlacementMemory memory{Knobs{}};
  EngineLoad report;
  report.measuredAt = kNow;
  report.prefillTokensPerSecond = 10000;
  report.queuedPrefillTokens = 1000;  // Prefilled after 0.1 s.
  memory.recordSent(lifeOf(1), chainOf(1000, 10), 500, kNow + Duration(300000));
  // 0.2 s of idle time count as 2,000 tokens, so that 1,000 + 2,500 - 3,000 = 500 tokens remain.
  CHECK(memory.loadAddedSince(lifeOf(1), report).prefillTokens == 2500);
}

TEST_CASE("the number of remembered prefixes is bounded") {
  Knobs knobs;
  knobs.placementMarks = 100;
  PlacementMemory memory(knobs);
  for (uint64_t request = 0; request < 50; ++request) {
    memory.recordSent(lifeOf(1), chainOf(request * 10000, 80), 0, kNow);
  }
  CHECK(memory.markCount() <= 100);
  CHECK(memory.expectedBlocks(lifeOf(1), chainOf(490000, 80), kNow) == 80);
}

}  // namespace fernmoor
