/// @file
/// Tests of src/gateway/forwarder.h over loopback with limits of tenants and limits stated by back
/// ends.
#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway {

using namespace test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kWait{30000};

const std::string kAnswer = answer("200 OK", "body", "Id: r1\r\nSigned: yes\r\n");

}  // namespace

TEST_CASE("a limit stated in an answer is reported with the send time of its request") {
  ForwarderWorld world;
  world.add("a", always(answer("200 OK", "body", "Id: r1\r\nSigned: yes\r\nLimit: 1.4\r\n")));
  const Time before = world.clock.now();
  world.serve();
  REQUIRE(world.loads.told.size() == 1);
  const LimitStatement limit = world.loads.told[0].limit.value();
  CHECK(limit.ratePerSecond == 1.4);
  CHECK(limit.sentAt >= before);
  CHECK(limit.cameAt >= limit.sentAt);
}

TEST_CASE("a request waits for the permit of the only engine, and uses it") {
  ForwarderWorld world;
  ScriptedBackend& backend = world.add("a", always(kAnswer));
  world.row.target = std::chrono::seconds(1);
  world.loads.permitWait = kWait;
  const Time before = world.clock.now();
  world.serve();
  CHECK((world.clock.now() - before >= kWait));
  CHECK(backend.requests() == 1);
  CHECK(world.loads.permits == 1);
  CHECK(world.caller.finished);
}

TEST_CASE("a request that cannot get a permit in time is refused with the time of the next one") {
  ForwarderWorld world;
  ScriptedBackend& backend = world.add("a", always(kAnswer));
  world.row.target = std::chrono::seconds(1);
  world.loads.permitWait = std::chrono::milliseconds(700);
  world.serve();
  CHECK(promisesNotRun(world.caller));
  CHECK((*world.caller.refusals.at(0).retryAfter >= std::chrono::milliseconds(700)));
  CHECK(backend.requests() == 0);
  CHECK(world.loads.permits == 0);
}

TEST_CASE("the permit of a request that is not sent is returned") {
  ForwarderWorld world;
  world.row.target = std::chrono::seconds(1);
  world.loads.permitWait = kWait;
  SUBCASE("the caller disconnects during the wait") {
    ScriptedBackend& backend = world.add("a", always(kAnswer));
    world.caller.socket.farCloses();
    world.serve();
    CHECK(backend.requests() == 0);
    CHECK(world.caller.refusals.empty());
  }
  SUBCASE("the engine accepts no connection") {
    ScriptedBackend& backend = world.add("a", always(kAnswer));
    backend.stopListening();
    world.serve();
    CHECK(promisesNotRun(world.caller));
  }
  SUBCASE("the second-send budget is exhausted") {
    ForwarderWorld withoutBudget(0);
    withoutBudget.row.target = std::chrono::seconds(1);
    withoutBudget.row.repetition = Repetition::kRepeatable;
    withoutBudget.loads.permitWait = Duration(0);
    withoutBudget.add("a",
                      always(answer("503 Service Unavailable", "", "Id: r1\r\nNot-Run: yes\r\n")));
    withoutBudget.add("b",
                      always(answer("503 Service Unavailable", "", "Id: r1\r\nNot-Run: yes\r\n")));
    withoutBudget.serve();
    CHECK(promisesNotRun(withoutBudget.caller));
    CHECK(withoutBudget.loads.permits == 1);
  }
  CHECK(world.loads.permits == 0);
}

TEST_CASE("a tenant's limit is applied before a back end is chosen") {
  ForwarderWorld world;
  ScriptedBackend& backend = world.add("e1", [](Poco::Net::StreamSocket& socket, const auto&) {
    say(socket, answer("200 OK", "whole"));
    return true;
  });
  IncomingRequest request = world.request();
  request.tenant = Tenant{"sese", false, 0};
  request.tenant->limits.unit = LimitUnit::kTokens;
  request.tenant->costWithoutTokens = 200;
  request.key = "key";
  SUBCASE("a request over the limit is refused with a retry time") {
    world.limits.isOver = true;
    world.forwarder.serve(request, world.caller);
    CHECK(backend.requests() == 0);
    REQUIRE(world.caller.refusals.size() == 1);
    CHECK((world.caller.refusals[0].kind == ErrorKind::kRateLimited));
    CHECK((world.caller.refusals[0].retryAfter == Duration(700000)));
  }
  SUBCASE("a request counts its prompt and its longest answer") {
    request.promptTokens = 1460;
    request.mostAnswerTokens = 80;
    world.forwarder.serve(request, world.caller);
    CHECK(world.limits.counted == 1540);
  }
  SUBCASE("a request without token counts counts the fixed cost") {
    world.forwarder.serve(request, world.caller);
    CHECK(world.limits.counted == 200);
  }
  SUBCASE("the cost of a request that no back end ran is returned") {
    world.backends.remove("e1");
    world.forwarder.serve(request, world.caller);
    CHECK(world.caller.refusals.size() == 1);
    CHECK(world.limits.counted == 0);
  }
}

TEST_CASE("a back end that asks for rest is not avoided as failed; its rest is reported") {
  ForwarderWorld world;
  const std::string restAnswer = answer("503 Away", "", "Id: r1\r\nNot-Run: 1\r\nRest: 3000\r\n");
  ScriptedBackend& resting = world.add("a", always(restAnswer));
  ScriptedBackend& other = world.add("b", always(kAnswer));
  for (int request = 0; request < 8; ++request) {
    world.serve();
  }
  CHECK(other.requests() == 8);
  const auto rests = std::count_if(world.loads.told.begin(), world.loads.told.end(),
                                   [](const auto& told) { return told.restsUntil.has_value(); });
  CHECK(rests == resting.requests());
  for (const BackendView& each : world.backends.membersOf("pool", "", world.clock.now())) {
    CHECK_FALSE(each.isAvoided);
  }
}

TEST_CASE("a request is refused with the earliest end of a rest if all back ends rest") {
  ForwarderWorld world;
  ScriptedBackend& backend = world.add("a", always(kAnswer));
  const uint64_t engine = incarnationHash(world.backends.all().at(0));
  world.backends.noteRest(engine, world.clock.now() + std::chrono::seconds(3), RestOf::kThisNode);
  world.serve();
  CHECK(promisesNotRun(world.caller));
  CHECK((*world.caller.refusals.at(0).retryAfter >= std::chrono::milliseconds(2500)));
  CHECK(backend.requests() == 0);
}

TEST_CASE(
    "a request is not sent to a back end that leaves while the request waits for its permit") {
  ForwarderWorld world;
  ScriptedBackend& backend = world.add("a", always(kAnswer));
  world.row.target = std::chrono::seconds(1);
  world.loads.permitWait = kWait;
  const uint64_t engine = incarnationHash(world.backends.all().at(0));
  std::thread leaving([&] { world.backends.noteLeaving(engine, Time()); });
  world.serve();
  leaving.join();
  CHECK(backend.requests() == 0);
  CHECK(promisesNotRun(world.caller));
  CHECK(world.loads.permits == 0);
}

}  // namespace fernmoor::gateway
