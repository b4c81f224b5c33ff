/// @file
/// Tests of src/gateway/begin_deadline.h and, over loopback, of its use by the forwarder: a request
/// queued at its back end does not begin there after the bound of newer weights.
#include "gateway/begin_deadline.h"

#include <doctest/doctest.h>

#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway {

using namespace test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kBound = std::chrono::seconds(8);

constexpr Time at(int64_t milliseconds) {
  return Time(std::chrono::seconds(1000)) + std::chrono::milliseconds(milliseconds);
}

/// Two versions, named at 0 s and 3 s; the first has always been available.
struct TwoNamed {
  TwoNamed() {
    wanted.note("m", 2, at(0), at(0));
    wanted.note("m", 3, at(3000), at(3000));
  }
  DesiredWeights wanted{WeightBounds{kBound, at(0)}};
};

}  // namespace

TEST_CASE("a request that has not begun is withdrawn before the first bound of newer weights") {
  TwoNamed world;
  BeginDeadline deadline(world.wanted, "r1");
  CHECK_FALSE(deadline.withdrawAt().has_value());
  deadline.start("m", 1, true);
  REQUIRE(deadline.withdrawAt());
  CHECK(*deadline.withdrawAt() < at(8000));
  CHECK(*deadline.withdrawAt() > at(7000));
  CHECK_FALSE(deadline.isOver(at(7000)));
  CHECK(deadline.isOver(at(8000)));
  SUBCASE("the bound for the weights it was sent to applies") {
    deadline.start("m", 2, true);
    CHECK_FALSE(deadline.isOver(at(10000)));
    CHECK(deadline.isOver(at(11000)));
    deadline.start("m", 3, true);
    CHECK_FALSE(deadline.withdrawAt().has_value());
  }
  SUBCASE("an outage of the store postpones the bound, a newly named version creates it") {
    world.wanted.noteStoreUnavailable(at(6000));
    CHECK_FALSE(deadline.isOver(at(13000)));
    CHECK(deadline.isOver(at(14000)));
    deadline.start("m", 3, true);
    world.wanted.note("m", 4, at(6100), at(6100));
    CHECK(deadline.isOver(at(14100)));
  }
  SUBCASE("a request that has begun is not withdrawn") {
    deadline.noteBegun();
    CHECK_FALSE(deadline.isOver(at(20000)));
    deadline.start("m", 1, true);  // At another back end it has to begin anew.
    CHECK(deadline.isOver(at(20000)));
  }
  SUBCASE("a request whose answer does not show its begin is not withdrawn") {
    deadline.start("m", 1, false);
    CHECK_FALSE(deadline.isOver(at(20000)));
  }
}

TEST_CASE("requests that wait together are not all withdrawn at the same instant") {
  TwoNamed world;
  Time first = at(99000);
  Time last = at(0);
  for (int request = 0; request < 50; ++request) {
    BeginDeadline deadline(world.wanted, "r" + std::to_string(request));
    deadline.start("m", 1, true);
    first = std::min(first, *deadline.withdrawAt());
    last = std::max(last, *deadline.withdrawAt());
  }
  CHECK(last - first > std::chrono::milliseconds(200));
}

namespace {

/// Streams for a model whose version 2 becomes mandatory in about two seconds. The engine with
/// version 1 is silent until the test releases the streams.
struct WaitingWorld : ForwarderWorld {
  WaitingWorld() {
    row.isStream = true;
    loads.isSilent = true;
    const Time now = clock.now();
    wanted.note("m", 1, std::nullopt, now);
    wanted.note("m", 2, now - WeightBounds{}.inForce + std::chrono::milliseconds(2200), now);
  }
  ~WaitingWorld() { isReleased = true; }

  ScriptedBackend& addSilentEngine() {
    ScriptedBackend& backend = add("a", [this](Poco::Net::StreamSocket&, const std::string&) {
      clock.leap = std::chrono::seconds(2);  // The bound is close from the start.
      while (!isReleased) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
      return false;
    });
    backends.noteWeights("a", "m", 1);
    return backend;
  }
  void serveStream() {
    IncomingRequest made = request();
    made.model = "m";
    forwarder.serve(made, caller);
  }

  std::atomic<bool> isReleased{false};
};

}  // namespace

TEST_CASE("a non-repeatable stream that can't begin in time ends with an unknown outcome") {
  WaitingWorld world;
  ScriptedBackend& older = world.addSilentEngine();
  world.serveStream();
  CHECK(older.requests() == 1);
  REQUIRE(world.caller.refusals.size() == 1);
  CHECK(world.caller.refusals[0].runState == RunState::kUnknown);
  CHECK(world.caller.refusals[0].kind == ErrorKind::kOutcomeUnknown);  // Before its deadline.
}

TEST_CASE("a resumable stream is retried at an engine with newer weights") {
  WaitingWorld world;
  world.row.isResumable = true;
  ScriptedBackend& older = world.addSilentEngine();
  ScriptedBackend& newer = world.add("b", always(streamHead() + chunk(event(1)) + "0\r\n\r\n"));
  world.backends.noteWeights("b", "m", 2);
  for (int other = 0; other < 9; ++other) {
    world.backends.started("b", 0);  // Makes the engine with the older weights the first choice.
  }
  world.serveStream();
  CHECK(older.requests() == 1);
  CHECK(newer.requests() == 1);
  CHECK(world.caller.body == event(1));
  CHECK(world.caller.finished);
  // The withdrawal was not caused by the silence limit.
  CHECK(holdsText(world.metrics.serialize(), "fernmoor_taken_back_total 1\n"));
}

TEST_CASE("a stream that began in time continues after the bound") {
  WaitingWorld world;
  ScriptedBackend& older = world.add("a", [&](Poco::Net::StreamSocket& socket, const std::string&) {
    say(socket, streamHead() + chunk(event(1)));
    while (!world.isReleased) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    say(socket, chunk(event(2)) + "0\r\n\r\n");
    return true;
  });
  world.backends.noteWeights("a", "m", 1);
  world.caller.onBody = [&] {
    world.clock.leap = std::chrono::seconds(5);
    world.isReleased = true;
  };
  world.serveStream();
  CHECK(older.requests() == 1);
  CHECK(world.caller.body == event(1) + event(2));
  CHECK(world.caller.finished);
}

TEST_CASE("no request is sent to an engine that may begin only close to the bound") {
  WaitingWorld world;
  ScriptedBackend& older = world.addSilentEngine();
  world.clock.leap = std::chrono::milliseconds(600);  // 1.6 s are left; the load is unknown.
  world.serveStream();
  CHECK(older.requests() == 0);
  CHECK(promisesNotRun(world.caller));
}

}  // namespace fernmoor::gateway
