/// @file
/// Tests of src/gateway/forwarder.h with requests that crash back ends, and after a suspend of the
/// machine.
#include <doctest/doctest.h>

#include "gateway/request_fingerprint.h"
#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway {

using namespace test;

namespace {

void resetConnection(Poco::Net::StreamSocket& socket) {
  socket.setLinger(true, 0);
  socket.close();
}

/// Adds a back end that crashes when it starts a request.
void addCrashing(ForwarderWorld& world, const std::string& id) {
  const size_t place = world.scripted.size();
  world.add(id, [&world, place](Poco::Net::StreamSocket& socket, const std::string&) {
    world.scripted[place]->stopListening();
    resetConnection(socket);
    return false;
  });
}

int requestsOf(const ForwarderWorld& world) {
  int sum = 0;
  for (const auto& each : world.scripted) {
    sum += each->requests();
  }
  return sum;
}

/// Adds a back end that gets no requests and shows that this node's links work.
void addOfOtherPool(ForwarderWorld& world) {
  world.witness = std::make_unique<ScriptedBackend>(always(answer("200 OK", "x")));
  BackendListing listing;
  listing.id = "witness";
  listing.pool = "other pool";
  listing.address = world.witness->address();
  world.backends.update(listing, world.clock.now());
}

}  // namespace

TEST_CASE("a fingerprint tells requests apart by tenant, method, host, path and body only") {
  ForwarderWorld world;
  IncomingRequest request = world.request();
  request.tenant = Tenant{"t", false, 0};
  request.headers.set("Host", "h");
  const uint64_t first = fingerprintOf(request);
  SUBCASE("the same request with another id, deadline and header") {
    request.id = "r2";
    request.deadline += std::chrono::seconds(3);
    request.headers.set("Other", "x");
    CHECK(fingerprintOf(request) == first);
    return;
  }
  SUBCASE("another tenant") {
    request.tenant->name = "u";
  }
  SUBCASE("another method") {
    request.method = "PUT";
  }
  SUBCASE("another host") {
    request.headers.set("Host", "g");
  }
  SUBCASE("another path") {
    request.target = "/a/c?c=d";
  }
  SUBCASE("another body") {
    request.body = "the Body";
  }
  SUBCASE("another boundary between path and body") {
    request.target += "t";
    request.body = "he body";
  }
  CHECK(fingerprintOf(request) != first);
}

TEST_CASE("a broken run is no crash if this node reaches no back end at all") {
  ForwarderWorld world;
  BackendListing unreachable;
  unreachable.id = "other";
  unreachable.pool = "other pool";
  unreachable.address = SocketAddress{"127.0.0.1", 1};
  world.backends.update(unreachable, world.clock.now());
  addCrashing(world, "a");
  world.serve();
  CHECK(world.quarantine.crashes.empty());
  CHECK(world.cutOffRuns.size() == 1);  // Later evidence may show that the back end ended.
}

TEST_CASE("a run in a zone that is cut off is no crash, though this node reaches other zones") {
  ForwarderWorld world;
  addOfOtherPool(world);
  BackendListing neighbour;
  neighbour.id = "neighbour";
  neighbour.pool = "other pool";
  neighbour.zone = "far";
  neighbour.address = SocketAddress{"127.0.0.1", 1};
  world.backends.update(neighbour, world.clock.now());
  addCrashing(world, "a");
  BackendListing listing = *world.backends.find("a");
  listing.zone = "far";
  world.backends.update(listing, world.clock.now());
  SUBCASE("no engine of the zone is reached") {
    world.serve();
    CHECK(world.quarantine.crashes.empty());
    CHECK(world.cutOffRuns.size() == 1);  // Later evidence may show that the back end ended.
  }
  SUBCASE("its entry lapses meanwhile") {
    world.serve();
    world.backends.remove("a");
    world.cutOffRuns.step();
    CHECK(world.quarantine.crashes.empty());
  }
  SUBCASE("another engine of the zone is reached: it is a crash") {
    neighbour.address = world.witness->address();
    world.backends.update(neighbour, world.clock.now());
    world.serve();
    CHECK(world.quarantine.crashes.size() == 1);
  }
}

TEST_CASE("a crash is recorded only if the back end's process ended unannounced") {
  ForwarderWorld world;
  addOfOtherPool(world);
  SUBCASE("the process has ended") {
    addCrashing(world, "a");
    world.serve();
    CHECK(world.quarantine.crashes == std::vector<uint64_t>{fingerprintOf(world.request())});
  }
  SUBCASE("the process had announced that it leaves") {
    addCrashing(world, "a");
    const BackendListing listing = *world.backends.find("a");
    world.add("b", [&](Poco::Net::StreamSocket& socket, const std::string&) {
      BackendListing leaving = *world.backends.find("b");
      leaving.isDraining = true;
      world.backends.update(leaving, world.clock.now());
      world.scripted[1]->stopListening();
      resetConnection(socket);
      return false;
    });
    world.backends.remove("a");
    world.serve();
    CHECK(requestsOf(world) == 1);
    CHECK(world.quarantine.crashes.empty());
  }
  SUBCASE("only the connection broke; the probe connection is reused") {
    std::atomic<int> answered{0};
    ScriptedBackend& backend =
        world.add("a", [&](Poco::Net::StreamSocket& socket, const std::string&) {
          if (answered++ > 0) {
            say(socket, answer("200 OK", "x"));
            return true;
          }
          resetConnection(socket);
          return false;
        });
    world.serve();
    CHECK(world.quarantine.crashes.empty());
    CHECK(world.cutOffRuns.size() == 1);  // Later evidence may show that the back end ended.
    world.serve();
    CHECK(backend.connectionCount() == 2);
    CHECK(world.cutOffRuns.size() == 0);  // It answered.
  }
  CHECK(world.caller.refusals.size() == 1);
  CHECK(world.caller.refusals[0].kind == ErrorKind::kOutcomeUnknown);
}

TEST_CASE("a run abandoned on a silent back end is recorded as a crash once that has ended") {
  ForwarderWorld world;
  world.row.repetition = Repetition::kRepeatable;
  std::atomic<bool> isOver{false};
  const Script silent = [&](Poco::Net::StreamSocket&, const std::string&) {
    while (!isOver) {
      std::this_thread::yield();
    }
    return false;
  };
  world.add("a", silent);
  world.add("b", silent);
  std::thread end([&] {
    while (requestsOf(world) < 2) {
      std::this_thread::yield();
    }
    isOver = true;
  });
  world.serve();
  end.join();
  CHECK(world.quarantine.crashes.empty());
  CHECK(world.cutOffRuns.size() == 2);  // The second one broke its connection.
  world.backends.remove("a");
  world.backends.remove("b");
  world.cutOffRuns.step();
  CHECK(world.quarantine.crashes.size() == 2);
}

TEST_CASE("a run that stays on a silent back end for want of budget shows whether that has ended") {
  ForwarderWorld world(0);
  world.row.repetition = Repetition::kRepeatable;
  size_t runsWhileSilent = 0;
  world.add("a", [&](Poco::Net::StreamSocket& socket, const std::string&) {
    const Time until = world.clock.now() + 10 * kSilence;
    while (world.cutOffRuns.size() == 0 && world.clock.now() < until) {
      std::this_thread::yield();
    }
    runsWhileSilent = world.cutOffRuns.size();
    say(socket, answer("200 OK", "body", "Id: r1\r\n"));
    return true;
  });
  world.serve();
  CHECK(runsWhileSilent == 1);
  CHECK(world.caller.finished);
  CHECK(world.quarantine.crashes.empty());
}

TEST_CASE("a run whose caller disconnected is recorded as a crash once its silent back end ended") {
  ForwarderWorld world;
  world.add("a", [&](Poco::Net::StreamSocket& socket, const std::string&) {
    world.clock.leap = Duration(std::chrono::seconds(1));  // The back end sends nothing meanwhile.
    world.caller.socket.far.close();
    char byte = 0;
    socket.receiveBytes(&byte, 1);  // Returns when the connection is closed.
    return false;
  });
  world.serve();
  CHECK(world.cutOffRuns.size() == 1);
  world.backends.remove("a");
  world.cutOffRuns.step();
  CHECK(world.quarantine.crashes == std::vector<uint64_t>{fingerprintOf(world.request())});
}

TEST_CASE("a complete answer is recorded as served, also if it is an error") {
  ForwarderWorld world;
  std::string status;
  SUBCASE("success") {
    status = "200 OK";
  }
  SUBCASE("failure") {
    status = "500 Failed";
  }
  world.add("a", always(answer(status, "x")));
  world.serve();
  CHECK(world.quarantine.served == std::vector<uint64_t>{fingerprintOf(world.request())});
}

TEST_CASE("a crash blames the shared parts of the prompt, and a success clears them") {
  ForwarderWorld world;
  IncomingRequest request = world.request();
  request.parts = {PromptPart{"aa", 100}, PromptPart{"bb", 100}, PromptPart{"own", 100}};
  const std::vector<uint64_t> parts = suspectsOf(request).parts;
  REQUIRE(parts.size() == 2);
  CHECK(parts[0] != parts[1]);
  IncomingRequest other = world.request();
  other.body = "another body";
  other.parts = {PromptPart{"bb", 100}, PromptPart{"own", 100}};
  CHECK(suspectsOf(other).parts == std::vector<uint64_t>{parts[1]});
  SUBCASE("a crash") {
    addOfOtherPool(world);
    addCrashing(world, "a");
    world.forwarder.serve(request, world.caller);
    CHECK(world.quarantine.blamedParts == parts);
  }
  SUBCASE("a success") {
    world.add("a", always(answer("200 OK", "x")));
    world.forwarder.serve(request, world.caller);
    CHECK(world.quarantine.servedParts == parts);
  }
  SUBCASE("an error, which clears the request alone") {
    world.add("a", always(answer("500 Failed", "x")));
    world.forwarder.serve(request, world.caller);
    CHECK(world.quarantine.served == std::vector<uint64_t>{fingerprintOf(request)});
    CHECK(world.quarantine.servedParts.empty());
  }
}

TEST_CASE("a quarantined request is refused as not run, with a retry time") {
  ForwarderWorld world;
  world.add("a", always(answer("200 OK", "x")));
  world.quarantine.left = std::chrono::minutes(20);
  world.serve();
  CHECK(requestsOf(world) == 0);
  REQUIRE(promisesNotRun(world.caller));
  CHECK(world.caller.refusals[0].kind == ErrorKind::kQuarantined);
  CHECK(world.caller.refusals[0].retryAfter == std::chrono::minutes(20));
  CHECK(world.limits.counted == 0);
}

TEST_CASE("a request that its first attempt quarantines is not sent again") {
  ForwarderWorld world;
  world.row.repetition = Repetition::kRepeatable;
  addCrashing(world, "a");
  addCrashing(world, "b");
  world.quarantine.leftAfterCrash = std::chrono::minutes(30);
  world.serve();
  CHECK(requestsOf(world) == 1);
  REQUIRE(world.caller.refusals.size() == 1);
  CHECK(world.caller.refusals[0].runState == RunState::kUnknown);
  CHECK(world.quarantine.waits == 2);  // Once before each of the two.
}

TEST_CASE("a request ends at its deadline though the machine was suspended while it waited") {
  ForwarderWorld world;
  std::atomic<bool> isOver{false};
  std::thread suspension;
  world.add("a", [&](Poco::Net::StreamSocket&, const std::string&) {
    suspension = std::thread([&world] { world.clock.leap = Duration(std::chrono::seconds(60)); });
    while (!isOver) {
      std::this_thread::yield();
    }
    return false;
  });
  const IncomingRequest request = world.request();  // Its deadline lies 20 s ahead.
  const auto began = std::chrono::steady_clock::now();
  world.forwarder.serve(request, world.caller);
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(10));
  isOver = true;
  suspension.join();
  REQUIRE(world.caller.refusals.size() == 1);
  CHECK(world.caller.refusals[0].kind == ErrorKind::kTimeout);
}

}  // namespace fernmoor::gateway
