/// @file
/// Tests of src/peers/quarantine_directory.h for parts of prompts: no two requests are alike, and
/// one part that many of them share crashes engines.
#include <doctest/doctest.h>

#include "test/peers/quarantine_world.h"

namespace fernmoor::peers {

namespace {

using gateway::Suspects;
using test::QuarantineWorld;

constexpr uint64_t kBadPart = 77 | quarantine::kPartMark;
constexpr uint64_t kPopularPart = 88 | quarantine::kPartMark;
constexpr uint64_t kOtherPart = 99 | quarantine::kPartMark;
constexpr uint64_t kFirstRequest = 1000;
constexpr std::chrono::milliseconds kCrashInterval{600};
constexpr std::chrono::milliseconds kRunTime{100};
/// In which nodes must know a part that crashes engines, after its fifth crash.
constexpr std::chrono::seconds kContactTime(3);

struct PartWorld : QuarantineWorld {
  explicit PartWorld(uint64_t count) : QuarantineWorld(count) {}

  /// A node runs a request of its own with these parts at an engine, which crashes now.
  void crashWith(uint64_t nodeId, std::vector<uint64_t> parts) {
    ++crashes;
    node(nodeId).noteCrash(
        Suspects(kFirstRequest + static_cast<uint64_t>(crashes), std::move(parts)),
        quarantine::CrashedRun{static_cast<uint64_t>(crashes), clock.now() - kRunTime,
                               clock.now()});
  }
  /// Sound requests with this part are served at all nodes.
  void serveEverywhere(uint64_t part) {
    for (uint64_t id = 1; id <= size(); ++id) {
      node(id).noteServed(Suspects(kFirstRequest - id, {part}));
    }
  }
  bool isRefusedEverywhere(const std::vector<uint64_t>& parts) {
    for (uint64_t id = 1; id <= size(); ++id) {
      if (!node(id).timeLeft(Suspects(kFirstRequest - 1, parts))) {
        return false;
      }
    }
    return true;
  }

  int crashes = 0;
};

}  // namespace

TEST_CASE("a part that crashes engines is found by all nodes together, and no popular one") {
  for (const uint64_t count : {uint64_t{5}, uint64_t{40}}) {
    PartWorld world(count);
    while (!world.isRefusedEverywhere({kPopularPart, kBadPart})) {
      REQUIRE(world.crashes < 6);
      world.serveEverywhere(kPopularPart);
      world.crashWith(1 + static_cast<uint64_t>(world.crashes) % count, {kPopularPart, kBadPart});
      world.pass(kCrashInterval);
    }
    CHECK(world.quarantinedAt(kBadPart) == count);
    CHECK(world.quarantinedAt(kPopularPart) == 0);
    CHECK_FALSE(world.isRefusedEverywhere({kPopularPart, kOtherPart}));
  }
}

TEST_CASE("five crashes at one moment are followed by a verdict within the time to learn of it") {
  PartWorld world(7);
  for (uint64_t id = 1; id <= 5; ++id) {
    world.serveEverywhere(kPopularPart);
    world.crashWith(id, {kPopularPart, kBadPart});
    world.clock.advanceTo(world.clock.now() + std::chrono::milliseconds(40));
  }
  for (auto passed = kCrashInterval; passed < kContactTime; passed += kCrashInterval) {
    world.pass(kCrashInterval);
    world.serveEverywhere(kPopularPart);
    if (!world.isRefusedEverywhere({kBadPart})) {
      world.crashWith(6, {kPopularPart, kBadPart});
    }
  }
  CHECK(world.isRefusedEverywhere({kPopularPart, kBadPart}));
  CHECK(world.quarantinedAt(kPopularPart) == 0);
  CHECK(world.crashes <= 8);
}

TEST_CASE("engines that die at once under popular parts bring no verdict on these") {
  PartWorld world(7);
  for (int time = 0; time < 5; ++time) {
    for (uint64_t id = 1; id <= 7; ++id) {
      world.crashWith(id, {kPopularPart, kOtherPart});
    }
    world.pass(kCrashInterval);
    world.serveEverywhere(kPopularPart);
    world.node(3).noteServed(Suspects(kFirstRequest - 3, {kOtherPart}));  // Known at one node.
    world.pass(std::chrono::seconds(2));
  }
  CHECK(world.quarantinedAt(kPopularPart) == 0);
  CHECK(world.quarantinedAt(kOtherPart) == 0);
}

TEST_CASE("a part that ran at less than half of the engines that crashed is not blamed") {
  PartWorld world(7);
  // Engines end one after the other, and most of them did not run the popular part.
  for (uint64_t id = 1; id <= 5; ++id) {
    world.crashWith(id, {kPopularPart});
    for (uint64_t other = 0; other < 2; ++other) {
      for (uint64_t at = 1; at <= 7; ++at) {
        world.node(at).noteCrash(
            Suspects(kFirstRequest * 2 + id, {kOtherPart + id}),
            quarantine::CrashedRun{1000 + id * 2 + other, world.clock.now() - kRunTime,
                                   world.clock.now()});
      }
    }
    world.pass(kCrashInterval);
    world.serveEverywhere(kOtherPart + 10);  // The control group.
  }
  world.pass(std::chrono::seconds(6));
  CHECK(world.quarantinedAt(kPopularPart) == 0);
}

TEST_CASE("a crash holds nobody who shares a popular part") {
  PartWorld world(7);
  world.node(1).noteServed(Suspects(kFirstRequest, {kPopularPart}));
  world.crashWith(1, {kPopularPart, kBadPart});
  CHECK(world.node(1).isHeld(kBadPart));
  CHECK_FALSE(world.node(1).isHeld(kPopularPart));
  world.node(1).awaitDecision(Suspects(kFirstRequest, {kPopularPart, kOtherPart}));
}

TEST_CASE("a part that all requests share is not quarantined while nothing is served") {
  PartWorld world(7);
  for (uint64_t id = 1; id <= 7; ++id) {
    world.crashWith(id, {kPopularPart});
    world.pass(kCrashInterval);
  }
  CHECK(world.quarantinedAt(kPopularPart) == 0);
  SUBCASE("and is refused as soon as others are served") {
    world.serveEverywhere(kOtherPart);
    world.pass(std::chrono::milliseconds(500));
    CHECK(world.quarantinedAt(kPopularPart) == 7);
  }
  SUBCASE("nor later, without a further crash") {
    world.pass(std::chrono::seconds(6));
    world.serveEverywhere(kOtherPart);
    world.pass(std::chrono::milliseconds(500));
    CHECK(world.quarantinedAt(kPopularPart) == 0);
  }
}

TEST_CASE("three crashes bring no verdict on a part: a popular one is at most crashes") {
  PartWorld world(7);
  for (uint64_t id = 1; id <= 3; ++id) {
    world.crashWith(id, {kPopularPart});
    world.pass(kCrashInterval);
    world.serveEverywhere(kOtherPart);
  }
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kPopularPart) == 0);
  world.crashWith(4, {kPopularPart});
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kPopularPart) == 7);
}

TEST_CASE(
    "a request that was at all crashes of a popular part is quarantined instead of the part") {
  constexpr uint64_t kPoison = 55;
  constexpr uint64_t kFirstOther = 100;
  PartWorld world(7);
  for (uint64_t crash = 1; crash <= 4; ++crash) {
    // As many engines crash without it, so that it is not proposed before the part is.
    for (uint64_t id = 1; id <= 7; ++id) {
      world.crash(kFirstOther + crash, {{id, kFirstOther + crash * 10 + id}});
    }
    world.node(crash).noteCrash(
        Suspects(kPoison, {kPopularPart}),
        quarantine::CrashedRun{crash, world.clock.now() - kRunTime, world.clock.now()});
    world.pass(kCrashInterval);
    world.serveEverywhere(kOtherPart);
  }
  world.pass(kCrashInterval);
  CHECK(world.quarantinedAt(kPopularPart) == 0);
  CHECK(world.quarantinedAt(kPoison) == 7);
}

TEST_CASE("a part is not cleared by an answer without it") {
  PartWorld world(7);
  for (uint64_t id = 1; id <= 4; ++id) {
    world.crashWith(id, {kBadPart});
    world.pass(kCrashInterval);
    world.node(id).noteServed(Suspects(kFirstRequest));
    world.node(id).noteServed(Suspects(kFirstRequest, {kOtherPart}));
  }
  CHECK(world.isRefusedEverywhere({kBadPart}));
}

}  // namespace fernmoor::peers
