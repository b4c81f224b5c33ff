/// @file
/// Tests of src/gateway/cut_off_runs.h.
#include "gateway/cut_off_runs.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "sim/virtual_clock.h"
#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway {

using namespace test;

namespace {

constexpr uint64_t kFingerprint = 7;
constexpr int64_t kStart = 1000;
constexpr Duration kTick{100000};

/// A back end at which one run was just cut off.
struct CutOffWorld {
  CutOffWorld() : port([](Poco::Net::StreamSocket&, const std::string&) { return false; }) {
    listing.id = "a";
    listing.startedAt = kStart;
    listing.pool = "pool";
    listing.address = port.address();
    backends.update(listing, clock.now());
    BackendListing other;
    other.id = "other";
    backends.update(other, clock.now());
    cut();
  }
  void cut(uint64_t fingerprint = kFingerprint) {
    runs.note(fingerprint, listing,
              quarantine::CrashedRun{incarnationHash(listing), clock.now() - kTick, clock.now()});
  }
  void pass(Duration time) {
    for (Duration passed{0}; passed < time; passed += kTick) {
      clock.advanceTo(clock.now() + kTick);
      runs.step();
    }
  }

  sim::VirtualClock clock;
  ScriptedBackend port;
  BackendSet backends;
  BackendListing listing;
  std::optional<int64_t> reported;  ///< Not set: it doesn't answer.
  TestQuarantine quarantine;
  bool reachesOthers = true;
  EngineReach reach{clock, backends, [this](const BackendListing&) { return reachesOthers; },
                    [](bool) {}, 1};
  CutOffRuns runs{clock, backends, [this](const std::string&) { return reported; }, reach,
                  quarantine};
};

const std::vector<uint64_t> kHeld{kFingerprint};

}  // namespace

TEST_CASE("a cut-off run counts as a crash once its back end proves to have ended") {
  CutOffWorld world;
  world.pass(Duration(300000));
  CHECK(world.quarantine.crashes.empty());
  const Time cutAt = world.clock.now() - Duration(300000);
  SUBCASE("its port refuses connections") {
    world.port.stopListening();
  }
  SUBCASE("it was removed from the list") {
    world.backends.remove("a");
  }
  SUBCASE("the list names a later start") {
    world.listing.startedAt = kStart + 1;
    world.backends.update(world.listing, world.clock.now());
  }
  SUBCASE("it reports a later start") {
    world.reported = kStart + 1;
  }
  world.pass(Duration(1000000));
  CHECK(world.quarantine.crashes == kHeld);
  CHECK(world.quarantine.lastRun.endedAt == cutAt);
  CHECK(world.runs.size() == 0);
}

TEST_CASE("a run that its back end survived is not counted as a crash") {
  CutOffWorld world;
  const uint64_t incarnation = incarnationHash(world.listing);
  SUBCASE("it reports the same start half a second later") {
    world.reported = kStart;
    world.pass(Duration(400000));
    CHECK(world.runs.size() == 1);  // A process that is ending may still answer.
    world.pass(Duration(600000));
  }
  SUBCASE("it sent an answer later") {
    world.pass(kTick);
    world.runs.noteAlive(incarnation, world.clock.now());
  }
  SUBCASE("it is draining") {
    world.listing.isDraining = true;
    world.backends.update(world.listing, world.clock.now());
    world.pass(kTick);
  }
  CHECK(world.runs.size() == 0);
  world.backends.remove("a");
  world.pass(Duration(1000000));
  CHECK(world.quarantine.crashes.empty());
}

TEST_CASE("a refused connection is no crash if this node reaches no other back end") {
  CutOffWorld world;
  world.reachesOthers = false;
  world.port.stopListening();
  SUBCASE("until the evidence times out") {
    world.pass(Duration(5200000));
    CHECK(world.quarantine.crashes.empty());
    CHECK(world.runs.size() == 0);
  }
  SUBCASE("until it reaches others, and that one still refuses") {
    world.pass(Duration(1000000));
    CHECK(world.quarantine.crashes.empty());
    world.reachesOthers = true;
    world.reach.noteConnected();
    world.pass(Duration(2000000));
    CHECK(world.quarantine.crashes == kHeld);
  }
  SUBCASE("the list shows that it ended") {
    world.backends.remove("a");
    world.pass(kTick);
    CHECK(world.quarantine.crashes == kHeld);
  }
}

TEST_CASE("data sent before a run was cut off does not prove that the back end is alive") {
  CutOffWorld world;
  world.runs.noteAlive(incarnationHash(world.listing), world.clock.now() - kTick);
  world.runs.noteAlive(incarnationHash(world.listing) + 1, world.clock.now() + kTick);
  CHECK(world.runs.size() == 1);
}

TEST_CASE("a run without evidence for five seconds is not counted as a crash") {
  CutOffWorld world;
  world.pass(Duration(4900000));
  CHECK(world.runs.size() == 1);
  world.pass(Duration(300000));
  CHECK(world.runs.size() == 0);
  world.backends.remove("a");
  world.pass(kTick);
  CHECK(world.quarantine.crashes.empty());
}

TEST_CASE("only the newest 512 runs are kept") {
  CutOffWorld world;
  for (uint64_t number = 0; number < 600; ++number) {
    world.cut(1000 + number);
  }
  CHECK(world.runs.size() == 512);
  world.backends.remove("a");
  world.pass(kTick);
  CHECK(world.quarantine.crashes.size() == 512);
  CHECK(world.quarantine.crashes.back() == 1599);
}

TEST_CASE("a run at a draining back end is not kept") {
  CutOffWorld world;
  world.pass(Duration(5200000));
  world.listing.isDraining = true;
  world.backends.update(world.listing, world.clock.now());
  world.cut();
  CHECK(world.runs.size() == 0);
}

TEST_CASE("the search for evidence sleeps until a run is cut off") {
  CutOffWorld world;
  world.runs.noteAlive(incarnationHash(world.listing), world.clock.now() + kTick);
  REQUIRE(world.runs.size() == 0);
  std::atomic<bool> isAwake{false};
  std::thread search([&] {
    world.runs.waitForRuns();
    isAwake = true;
  });
  CHECK_FALSE(isAwake);
  world.cut();
  search.join();
  CHECK(isAwake);
  world.runs.waitForRuns();  // Returns at once while there is one.
}

}  // namespace fernmoor::gateway
