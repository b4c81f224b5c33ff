/// @file
/// Tests of src/gateway/engine_reach.h.
#include "gateway/engine_reach.h"

#include <doctest/doctest.h>

#include <chrono>
#include <set>

#include "sim/virtual_clock.h"

namespace fernmoor::gateway {

namespace {

using std::chrono::milliseconds;

/// Engines whose ports the test opens and closes, and one node's view of them.
struct ReachWorld {
  explicit ReachWorld(int engines = 13) {
    for (int number = 0; number < engines; ++number) {
      BackendListing listing;
      listing.id = "e" + std::to_string(number);
      listing.pool = "pool";
      backends.update(listing, clock.now());
    }
    pass(milliseconds(5000));
  }
  void pass(Duration time) {
    const Time end = clock.now() + time;
    while (clock.now() < end) {
      clock.advanceTo(clock.now() + EngineReach::kStep);
      reach.step();
    }
  }
  void cutOff() { isCut = true; }
  void fail(const std::string& engine) { reach.noteUnreached(engine); }

  sim::VirtualClock clock;
  BackendSet backends;
  bool isCut = false;
  std::set<std::string> ended;
  std::vector<std::string> probed;
  std::vector<bool> told;
  EngineReach reach{clock, backends,
                    [this](const BackendListing& engine) {
                      probed.push_back(engine.id);
                      return !isCut && ended.count(engine.id) == 0;
                    },
                    [this](bool connectionsFail) { told.push_back(connectionsFail); }, 1};
};

}  // namespace

TEST_CASE("a node whose connections to several engines fail is partitioned") {
  ReachWorld world;
  world.cutOff();
  world.fail("e0");
  world.pass(milliseconds(100));
  CHECK(world.reach.state() == ReachState::kPartitioned);
  CHECK(world.probed.size() == 3);

  SUBCASE("and probes at a low rate") {
    world.pass(milliseconds(5000));
    CHECK(world.probed.size() <= 3 + 20);
    CHECK(world.reach.state() == ReachState::kPartitioned);
  }
  SUBCASE("until an engine takes a connection again") {
    world.isCut = false;
    world.pass(milliseconds(350));
    CHECK(world.reach.state() == ReachState::kReached);
    CHECK(world.told == std::vector<bool>{true, false});
  }
  SUBCASE("or a request reaches one") {
    world.isCut = false;
    world.reach.noteConnected();
    CHECK(world.reach.state() == ReachState::kReached);
    CHECK(world.told == std::vector<bool>{true, false});
  }
  SUBCASE("and a second partition is found as well") {
    world.isCut = false;
    world.pass(milliseconds(350));
    world.cutOff();
    world.pass(milliseconds(2000));
    world.fail("e5");
    world.pass(milliseconds(100));
    CHECK(world.reach.state() == ReachState::kPartitioned);
  }
}

TEST_CASE("established connections may live on while new ones fail") {
  ReachWorld world;
  world.cutOff();
  world.fail("e0");
  world.fail("e1");
  world.reach.noteHeard();
  world.pass(milliseconds(100));
  CHECK(world.reach.state() == ReachState::kNoNewConnections);
  world.pass(milliseconds(1100));
  CHECK(world.reach.state() == ReachState::kPartitioned);
  world.reach.noteHeard();
  CHECK(world.reach.state() == ReachState::kNoNewConnections);
}

TEST_CASE("a crashed engine does not make a node take its links for lost") {
  ReachWorld world;
  SUBCASE("no probe is sent if another engine was heard since") {
    world.fail("e0");
    world.clock.advanceTo(world.clock.now() + milliseconds(5));
    world.reach.noteHeard();
    world.pass(milliseconds(500));
    CHECK(world.probed.empty());
  }
  SUBCASE("one probe is enough if nothing was heard since") {
    world.ended = {"e0"};
    world.fail("e0");
    world.pass(milliseconds(500));
    CHECK(world.probed.size() == 1);
  }
  SUBCASE("all engines of a service may end, as others are probed") {
    world.ended = {"e0", "e1", "e2"};
    world.fail("e0");
    world.fail("e1");
    world.fail("e2");
    world.pass(milliseconds(500));
    CHECK(world.probed.size() == 1);
  }
  CHECK(world.reach.state() == ReachState::kReached);
  CHECK(world.told.empty());  // Nor did it for a moment.
}

TEST_CASE("a node that lost all engines of its list has none to ask") {
  ReachWorld world(2);
  world.ended = {"e0", "e1"};
  world.fail("e0");
  world.fail("e1");
  world.pass(milliseconds(100));
  CHECK(world.reach.state() == ReachState::kPartitioned);
  world.ended.clear();
  world.pass(milliseconds(350));
  CHECK(world.reach.state() == ReachState::kReached);
}

TEST_CASE("whether another engine is reached decides between a crash and a lost link") {
  ReachWorld world;
  const Time broke = world.clock.now();
  SUBCASE("data since then shows it without a probe") {
    world.reach.noteHeard();
    CHECK(world.reach.reachesAnotherThan("e0", broke));
    CHECK(world.probed.empty());
  }
  SUBCASE("otherwise others are probed, not the one in question") {
    CHECK(world.reach.reachesAnotherThan("e0", broke));
    CHECK(world.probed.size() == 1);
    CHECK(world.probed[0] != "e0");
  }
  SUBCASE("none is reached where all links are lost") {
    world.cutOff();
    CHECK_FALSE(world.reach.reachesAnotherThan("e0", broke));
    CHECK(world.probed.size() == 3);
  }
}

TEST_CASE("a zone that is cut off is told from the crash of one of its engines") {
  ReachWorld world;
  std::set<std::string> farEngines;
  for (int number = 0; number < 8; ++number) {
    BackendListing listing;
    listing.id = "far" + std::to_string(number);
    listing.pool = "pool";
    listing.zone = "far";
    farEngines.insert(listing.id);
    world.backends.update(listing, world.clock.now());
  }
  const BackendListing engine = *world.backends.find("far0");
  const Time broke = world.clock.now();
  SUBCASE("the zone is cut off: none of its engines is reached, others are") {
    world.ended = farEngines;
    world.reach.noteHeard();  // By an engine of another zone.
    CHECK_FALSE(world.reach.reachesNeighbourOf(engine, broke));
    CHECK(world.reach.isZoneCutOff(engine, broke));
    CHECK(world.probed.size() == 6);
    CHECK_FALSE(world.reach.reachesNeighbourOf(*world.backends.find("far1"), broke));
    CHECK(world.probed.size() == 6);  // Not probed again for the other runs that broke off.
    world.ended.clear();
    world.clock.advanceTo(world.clock.now() + milliseconds(250));
    CHECK(world.reach.reachesNeighbourOf(engine, broke));
  }
  SUBCASE("the engine crashed, and several others of its zone") {
    world.ended = {"far0", "far1", "far2", "far3", "far4"};
    CHECK(world.reach.reachesNeighbourOf(engine, broke));
    CHECK_FALSE(world.reach.isZoneCutOff(engine, broke));
  }
  SUBCASE("an earlier check that reached the zone proves nothing about a later break") {
    CHECK(world.reach.reachesNeighbourOf(engine, broke));
    world.ended = farEngines;
    world.clock.advanceTo(world.clock.now() + milliseconds(1));
    CHECK_FALSE(world.reach.reachesNeighbourOf(engine, world.clock.now()));
  }
  SUBCASE("an engine alone in its zone is compared with those of other zones") {
    BackendListing alone;
    alone.id = "alone";
    alone.pool = "pool";
    alone.zone = "third";
    world.backends.update(alone, world.clock.now());
    CHECK(world.reach.reachesNeighbourOf(alone, broke));
  }
}

}  // namespace fernmoor::gateway
