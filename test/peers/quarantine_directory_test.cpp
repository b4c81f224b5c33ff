/// @file
/// Tests of src/peers/quarantine_directory.h: several nodes whose messages are
/// delivered synchronously.
#include "peers/quarantine_directory.h"

#include <doctest/doctest.h>

#include "test/peers/quarantine_world.h"

namespace fernmoor::peers {

namespace {

using test::QuarantineWorld;

constexpr uint64_t kPoison = 77;
constexpr uint64_t kVictim = 88;
constexpr uint64_t kFirstOther = 1000;

constexpr std::chrono::milliseconds kCrashInterval{800};
constexpr std::chrono::milliseconds kShortInterval{300};

/// Crashes engines that ran neither kPoison nor kVictim, but a request of its own at each node.
void crashOthers(QuarantineWorld& world, uint64_t firstEngine, uint64_t count) {
  for (uint64_t engine = firstEngine; engine < firstEngine + count; ++engine) {
    for (uint64_t id = 1; id <= world.size(); ++id) {
      world.crash(engine, {{id, kFirstOther + engine * world.size() + id}});
    }
    world.pass(kShortInterval);
  }
}

}  // namespace

TEST_CASE(
    "after three crashes at three nodes, all nodes quarantine the request within half a second") {
  QuarantineWorld world(7);
  for (uint64_t engine = 1; engine <= 3; ++engine) {
    world.pass(kCrashInterval);
    CHECK(world.quarantinedAt(kPoison) == 0);
    world.crash(engine, {{engine, kPoison}});
  }
  world.pass(std::chrono::milliseconds(500));
  CHECK(world.quarantinedAt(kPoison) == 7);
}

TEST_CASE("nodes hold a request until a decision, and other requests proceed") {
  QuarantineWorld world(7);
  for (uint64_t engine = 1; engine <= 3; ++engine) {
    world.pass(kCrashInterval);
    world.crash(engine, {{engine, kPoison}});
  }
  for (uint64_t id = 1; id <= 7; ++id) {
    CHECK(world.node(id).isHeld(kPoison));
    CHECK_FALSE(world.node(id).isHeld(kVictim));
  }
  SUBCASE("until the verdict") {
    world.pass(std::chrono::milliseconds(400));
    CHECK(world.quarantinedAt(kPoison) == 7);
  }
  SUBCASE("for 350 ms if no verdict arrives") {
    world.silent = {NodeId(1), NodeId(2), NodeId(3), NodeId(4), NodeId(5), NodeId(6), NodeId(7)};
    world.clock.advanceTo(world.clock.now() + std::chrono::milliseconds(350));
  }
  for (uint64_t id = 1; id <= 7; ++id) {
    CHECK_FALSE(world.node(id).isHeld(kPoison));
    world.node(id).awaitDecision(kPoison);
  }
}

TEST_CASE("a node that saw a crash holds its request for one round trip only") {
  QuarantineWorld world(7);
  world.crash(1, {{1, kVictim}});
  CHECK(world.node(1).isHeld(kVictim));
  CHECK_FALSE(world.node(2).isHeld(kVictim));
  world.clock.advanceTo(world.clock.now() + std::chrono::milliseconds(50));
  CHECK_FALSE(world.node(1).isHeld(kVictim));
  world.node(1).awaitDecision(kVictim);
}

TEST_CASE(
    "a verdict that explains the crashes of a proposal for another request ends that proposal") {
  QuarantineWorld world(7);
  for (uint64_t engine = 1; engine <= 2; ++engine) {
    world.pass(kCrashInterval);
    world.crash(engine, {{engine, kPoison}, {engine, kVictim}});
  }
  world.pass(kCrashInterval);
  world.crash(3, {{3, kPoison}});
  world.pass(std::chrono::milliseconds(100));
  world.crash(4, {{4, kVictim}});
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kPoison) + world.quarantinedAt(kVictim) <= 7);
  CHECK(world.quarantinedAt(kVictim) == 0);
}

TEST_CASE("evidence is handed over while all nodes restart in turn") {
  QuarantineWorld world(7);
  world.crash(1, {{1, kPoison}});
  world.pass(kCrashInterval);
  for (uint64_t id = 1; id <= 7; ++id) {
    world.setState(id, MemberState::kDraining);
    world.pass(std::chrono::milliseconds(600));
    world.restart(id);
    world.setState(id, MemberState::kAlive);
    world.pass(std::chrono::milliseconds(600));
  }
  world.crash(2, {{3, kPoison}});
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kPoison) == 0);
  world.crash(3, {{5, kPoison}});
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kPoison) == 7);
}

TEST_CASE("a verdict is sent again to a node that missed it") {
  QuarantineWorld world(7);
  for (uint64_t engine = 1; engine <= 3; ++engine) {
    world.pass(kCrashInterval);
    world.crash(engine, {{engine, kPoison}});
  }
  world.silent = {NodeId(6)};
  world.pass(std::chrono::milliseconds(400));
  CHECK_FALSE(world.node(6).timeLeft(kPoison));
  world.silent.clear();
  world.pass(std::chrono::milliseconds(900));
  CHECK(world.node(6).timeLeft(kPoison));
}

TEST_CASE("a request that was served meanwhile by any node is not quarantined") {
  QuarantineWorld world(7);
  world.pass(kCrashInterval);
  world.crash(1, {{1, kVictim}, {2, kVictim}});
  world.node(5).noteServed(kVictim + 1);
  world.pass(kCrashInterval);
  world.crash(2, {{2, kVictim}});
  SUBCASE("by a node that saw none of the crashes") {
    world.node(5).noteServed(kVictim);
  }
  SUBCASE("by a node that saw one") {
    world.node(2).noteServed(kVictim);
  }
  world.pass(kCrashInterval);
  world.crash(3, {{3, kVictim}});
  world.pass(std::chrono::milliseconds(2000));
  CHECK(world.quarantinedAt(kVictim) == 0);
  // The evidence was dropped, so three further crashes are needed.
  world.crash(4, {{4, kVictim}});
  world.pass(kCrashInterval);
  world.crash(5, {{4, kVictim}});
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kVictim) == 0);
}

TEST_CASE("what a node objected with is known to all, also once that node has been restarted") {
  QuarantineWorld world(7);
  for (uint64_t engine = 1; engine <= 3; ++engine) {
    world.node(5).noteServed(kVictim);
    world.pass(kCrashInterval);
    world.crash(engine, {{engine, kVictim}});
  }
  world.pass(kCrashInterval);
  world.restart(5);
  // The nodes that ran the request hand over what they hold against it.
  world.setState(7, MemberState::kDraining);
  world.pass(std::chrono::milliseconds(600));
  world.setState(7, MemberState::kAlive);
  world.pass(kCrashInterval);
  for (uint64_t engine = 4; engine <= 5; ++engine) {
    world.crash(engine, {{engine, kVictim}});
    world.pass(kCrashInterval);
  }
  CHECK(world.quarantinedAt(kVictim) == 0);
}

TEST_CASE("crashes before the loss of a node, which may have served the request, count for less") {
  QuarantineWorld world(7);
  world.crash(1, {{1, kVictim}});
  world.pass(kCrashInterval);
  world.node(5).noteServed(kVictim);
  SUBCASE("a node that has restarted") {
    world.restart(5);
    world.setIncarnation(5, Incarnation(2));
  }
  SUBCASE("a node that is gone") {
    world.restart(5);
    world.removeMember(5);
  }
  for (uint64_t engine = 2; engine <= 4; ++engine) {
    world.crash(engine, {{engine, kVictim}});
    world.pass(kCrashInterval);
  }
  CHECK(world.quarantinedAt(kVictim) == 0);
  world.crash(6, {{6, kVictim}});
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kVictim) >= 6);
}

TEST_CASE("of two requests with the same crashes, the one that causes the next is quarantined") {
  QuarantineWorld world(7);
  for (uint64_t engine = 1; engine <= 3; ++engine) {
    world.pass(kCrashInterval);
    world.crash(engine, {{engine, kPoison}, {engine + 1, kVictim}});
  }
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kVictim) == 0);
  CHECK(world.quarantinedAt(kPoison) == 0);
  world.crash(4, {{5, kPoison}});
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kPoison) == 7);
  CHECK(world.quarantinedAt(kVictim) == 0);
  SUBCASE("and the crashes that it explains no longer count against the other") {
    world.crash(5, {{1, kVictim}});
    world.pass(kCrashInterval);
    world.crash(6, {{2, kVictim}});
    world.pass(kCrashInterval);
    CHECK(world.quarantinedAt(kVictim) == 0);
  }
}

TEST_CASE("a request that ran at few of the engines that crashed meanwhile is not quarantined") {
  QuarantineWorld world(7);
  for (uint64_t crash = 1; crash <= 4; ++crash) {
    world.crash(crash, {{crash, kVictim}});
    world.pass(kShortInterval);
    crashOthers(world, 100 + crash * 10, 2);
  }
  CHECK(world.quarantinedAt(kVictim) == 0);
}

TEST_CASE(
    "a request that crashes engines is found after five crashes, whatever else crashes some") {
  QuarantineWorld world(7);
  uint64_t crashes = 0;
  while (world.quarantinedAt(kPoison) < world.size() && crashes < 10) {
    ++crashes;
    world.crash(crashes, {{crashes % 7 + 1, kPoison}, {(crashes + 1) % 7 + 1, kVictim + crashes}});
    world.pass(kShortInterval);
    crashOthers(world, 100 + crashes * 10, 3);
  }
  CHECK(crashes <= 5);
}

TEST_CASE("two requests that are always sent together are both quarantined eventually") {
  QuarantineWorld world(7);
  for (uint64_t engine = 1; engine <= 5; ++engine) {
    world.pass(kCrashInterval);
    world.crash(engine, {{engine, kPoison}, {engine + 1, kVictim}});
  }
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kPoison) == 7);
  CHECK(world.quarantinedAt(kVictim) == 7);
}

TEST_CASE("a crash after the verdict is explained by it") {
  QuarantineWorld world(7);
  for (uint64_t engine = 1; engine <= 3; ++engine) {
    world.pass(kCrashInterval);
    world.crash(engine, {{engine, kPoison}});
  }
  world.pass(kCrashInterval);
  world.crash(4, {{2, kPoison}});
  world.crash(4, {{3, kVictim}});
  world.pass(kCrashInterval);
  world.crash(5, {{3, kVictim}});
  world.pass(kCrashInterval);
  world.crash(6, {{3, kVictim}});
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kVictim) == 0);
}

TEST_CASE("evidence survives the restart of any one node") {
  for (uint64_t restarted = 1; restarted <= 7; ++restarted) {
    QuarantineWorld world(7);
    world.pass(kCrashInterval);
    world.crash(1, {{1, kPoison}});
    world.pass(kCrashInterval);
    world.crash(2, {{2, kPoison}});
    world.restart(restarted);
    world.pass(kCrashInterval);
    world.crash(3, {{3, kPoison}});
    world.pass(kCrashInterval);
    CHECK(world.quarantinedAt(kPoison) == 7);
  }
}

TEST_CASE("nodes that restart in turn while the store is unavailable receive the verdict") {
  QuarantineWorld world(7);
  for (uint64_t engine = 1; engine <= 3; ++engine) {
    world.pass(kCrashInterval);
    world.crash(engine, {{engine, kPoison}});
  }
  world.pass(std::chrono::milliseconds(2000));
  for (uint64_t id = 1; id <= 7; ++id) {
    world.restart(id);
    CHECK_FALSE(world.node(id).timeLeft(kPoison));
    world.pass(std::chrono::milliseconds(2500));
    CHECK(world.quarantinedAt(kPoison) == 7);
  }
}

TEST_CASE("one node writes a verdict to the store, up to three others if it fails to") {
  QuarantineWorld world(7);
  for (uint64_t engine = 1; engine <= 3; ++engine) {
    world.pass(kCrashInterval);
    world.crash(engine, {{engine, kPoison}});
  }
  const auto writers = [&world] {
    size_t count = 0;
    for (uint64_t id = 1; id <= world.size(); ++id) {
      count += world.node(id).toStore(world.clock.now()).size();
    }
    return count;
  };
  world.pass(std::chrono::milliseconds(400));
  CHECK(writers() == 1);
  world.pass(std::chrono::milliseconds(800));
  CHECK(writers() == 2);
  world.pass(std::chrono::milliseconds(3000));
  CHECK(writers() == 4);
}

}  // namespace fernmoor::peers
