/// @file
/// Tests of src/gateway/engine_attempt.h: time limits are evaluated at the send, not when it was
/// planned.
#include "gateway/engine_attempt.h"

#include <doctest/doctest.h>

#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway {

using namespace test;  // NOLINT(google-build-using-namespace)

namespace {

/// A planned send of a request with a deadline 20 s ahead.
struct PlannedWorld : ForwarderWorld {
  PlannedWorld() : backend(add("a", always(answer("200 OK", "x")))), made(request()) {
    plan.backend = backends.all().front();
  }
  AttemptStep send() {
    EngineAttempt attempt(made, plan, protocol, connections, clock);
    const AttemptStep opened = attempt.open(made.deadline);
    const AttemptStep sent =
        opened == AttemptStep::kDone ? attempt.send(caller, made.deadline) : opened;
    return sent == AttemptStep::kDone ? attempt.awaitHead(caller, made.deadline) : sent;
  }

  ScriptedBackend& backend;
  IncomingRequest made;
  SendPlan plan;
};

}  // namespace

TEST_CASE("the request states the time left at the moment of the send") {
  PlannedWorld world;
  world.clock.leap = std::chrono::seconds(15);  // Opening the connection took long.
  REQUIRE(world.send() == AttemptStep::kDone);
  const std::string sent = world.backend.lastRequest();
  const std::string name = "Time-Left: ";
  const int left = std::atoi(sent.c_str() + sent.find(name) + name.size());
  CHECK(left <= 5000);
  CHECK(left > 0);
}

TEST_CASE("nothing is sent if the deadline passes before the connection is open") {
  PlannedWorld world;
  world.clock.leap = std::chrono::seconds(21);
  CHECK(world.send() == AttemptStep::kTooLate);
  CHECK(world.backend.requests() == 0);
}

}  // namespace fernmoor::gateway
