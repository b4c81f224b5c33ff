/// @file
/// Tests of src/gateway/request_run_software.cpp: streams while engines of several software
/// versions serve.
#include <doctest/doctest.h>

#include "gateway/forwarder.h"
#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway {

using namespace test;

namespace {

/// Long enough ago that no stream can have begun before.
constexpr std::chrono::hours kLongAgo(1);

/// Back ends of a resumable stream that state their software.
struct SoftwareWorld : ForwarderWorld {
  SoftwareWorld() {
    row.isStream = true;
    row.isResumable = true;
    row.maxAttempts = 3;
    row.pools = {WeightedPool{"pool", 1}, WeightedPool{"other pool", 1}};
  }
  /// @param startedAt in Unix ms, if the back end states it.
  ScriptedBackend& add(const std::string& id, const std::string& software, Script script,
                       int64_t startedAt = 0, const std::string& pool = "pool") {
    ScriptedBackend& made = ForwarderWorld::add(id, std::move(script));
    backends.remove(id);
    BackendListing listing;
    listing.id = id;
    listing.pool = pool;
    listing.address = made.address();
    listing.software = software;
    listing.startedAt = startedAt;
    backends.update(listing, clock.now());
    return made;
  }
  IncomingRequest takeUp() {
    IncomingRequest made = request();
    made.resumeAfter = "2";
    made.resumedStream = "r0";
    return made;
  }
  /// The whole list was known for long.
  void noteWholeList() {
    backends.replaceAll(backends.all(), clock.now() - kLongAgo);
    backends.forgetOld(clock.now() - kLongAgo);
  }
};

/// Sends two events and resets the connection; after the second event it sends the rest.
Script breaksOnce() {
  return [](Poco::Net::StreamSocket& socket, const std::string& request) {
    if (!holdsText(request, "Resume-After")) {
      say(socket, streamHead() + chunk(event(1)) + chunk(event(2)));
      socket.setLinger(true, 0);
      socket.close();
      return false;
    }
    say(socket, streamHead() + chunk(event(3)) + "0\r\n\r\n");
    return true;
  };
}

Script resets() {
  return [](Poco::Net::StreamSocket& socket, const std::string&) {
    socket.setLinger(true, 0);
    socket.close();
    return false;
  };
}

Script rest() {
  return always(streamHead() + chunk(event(3)) + "0\r\n\r\n");
}

}  // namespace

TEST_CASE("a stream that breaks off goes on only at the software version that began it") {
  for (int turn = 0; turn < 10; ++turn) {
    SoftwareWorld world;
    ScriptedBackend& first = world.add("a", "v1", breaksOnce());
    ScriptedBackend& second = world.add("b", "v1", breaksOnce());
    ScriptedBackend& third = world.add("c", "v2", breaksOnce());
    ScriptedBackend& fourth = world.add("d", "v2", breaksOnce());
    world.serve();
    CHECK(world.caller.body == event(1) + event(2) + event(3));
    CHECK(world.caller.finished);
    CHECK(first.requests() == second.requests());
    CHECK(third.requests() == fourth.requests());
  }
}

TEST_CASE("a stream without another engine of its version is broken off") {
  SoftwareWorld world;
  world.add("a", "v1", breaksOnce());
  world.serve();
  ScriptedBackend& other = world.add("b", "v2", rest());
  CHECK(world.caller.body == event(1) + event(2));
  CHECK(world.caller.broken);
  CHECK(other.requests() == 0);
}

TEST_CASE("until its first event is sent a stream may begin anew at any version") {
  SoftwareWorld world;
  world.add("a", "v1", resets());
  world.add("b", "v2", always(streamHead() + chunk(event(1)) + "0\r\n\r\n"));
  world.serve();
  CHECK(world.caller.body == event(1));
  CHECK(world.caller.finished);
  REQUIRE(world.streams.records.count("r1") == 1);
  CHECK(world.streams.records["r1"].software == "v2");
}

TEST_CASE("the version is recorded by the time that the caller has the first event") {
  SoftwareWorld world;
  world.add("a", "v1", always(streamHead() + chunk(event(1)) + "0\r\n\r\n"));
  size_t recordsAtFirstEvent = 0;
  world.caller.onBody = [&] { recordsAtFirstEvent = world.streams.records.size(); };
  SUBCASE("of a stream that may be resumed") {
    world.serve();
    CHECK(recordsAtFirstEvent == 1);
    CHECK(world.streams.records["r1"].pool == "pool");
    CHECK(world.streams.records["r1"].software == "v1");
  }
  SUBCASE("but not of another one") {
    world.row.isResumable = false;
    world.serve();
    CHECK(world.streams.records.empty());
  }
}

TEST_CASE("a stream that is taken up goes on at the recorded version") {
  SoftwareWorld world;
  ScriptedBackend& old = world.add("a", "v1", rest());
  ScriptedBackend& next = world.add("b", "v2", rest());
  world.add("c", "v2", rest());
  world.streams.records["r0"] = StreamBinding{"pool", "v1"};
  world.forwarder.serve(world.takeUp(), world.caller);
  CHECK(world.caller.body == event(3));
  CHECK(world.caller.finished);
  CHECK(old.requests() == 1);
  CHECK(next.requests() == 0);
  CHECK(world.streams.records.count("r1") == 0);  // The record keeps its first name.
}

TEST_CASE("a stream that is taken up goes on in the pool in which it began") {
  SoftwareWorld world;
  world.add("a", "v1", rest());
  ScriptedBackend& began = world.add("b", "v1", rest(), 0, "other pool");
  SUBCASE("if its row still allows it") {
    world.streams.records["r0"] = StreamBinding{"other pool", "v1"};
    world.forwarder.serve(world.takeUp(), world.caller);
    CHECK(world.caller.finished);
    CHECK(began.requests() == 1);
  }
  SUBCASE("and not in one that the row no longer names") {
    world.streams.records["r0"] = StreamBinding{"former pool", "v1"};
    world.forwarder.serve(world.takeUp(), world.caller);
    CHECK(promisesNotRun(world.caller));
    CHECK(began.requests() == 0);
  }
}

TEST_CASE("a stream of unknown version is refused as not run, before it counts") {
  SoftwareWorld world;
  ScriptedBackend& old = world.add("a", "v1", rest());
  ScriptedBackend& next = world.add("b", "v2", rest());
  world.noteWholeList();
  IncomingRequest request = world.takeUp();
  request.tenant = Tenant{"sese", false, 0};
  request.key = "key";
  SUBCASE("and no node has its record") {}
  SUBCASE("and its caller does not name it") {
    request.resumedStream.clear();
  }
  world.forwarder.serve(request, world.caller);
  CHECK(promisesNotRun(world.caller));
  CHECK(old.requests() + next.requests() == 0);
  CHECK(world.limits.counted == 0);
}

TEST_CASE("a stream without a record goes on where it can have begun at one version only") {
  SoftwareWorld world;
  ScriptedBackend& engine = world.add("a", "v1", rest());
  SUBCASE("as this node has known the list since before it began") {
    world.noteWholeList();
    world.forwarder.serve(world.takeUp(), world.caller);
    CHECK(world.caller.finished);
  }
  SUBCASE("but not if this node has just started") {
    world.backends.replaceAll(world.backends.all(), world.clock.now());
    world.forwarder.serve(world.takeUp(), world.caller);
    CHECK(promisesNotRun(world.caller));
    CHECK(engine.requests() == 0);
  }
}

TEST_CASE("a stream whose version nobody runs any more is refused at once") {
  SoftwareWorld world;
  ScriptedBackend& next = world.add("b", "v2", rest());
  world.streams.records["r0"] = StreamBinding{"pool", "v1"};
  world.forwarder.serve(world.takeUp(), world.caller);
  CHECK(promisesNotRun(world.caller));
  CHECK(next.requests() == 0);
}

TEST_CASE("events of a process that is not the listed one reach no caller") {
  SoftwareWorld world;
  ScriptedBackend& replaced = world.add("a", "v1", always(streamHead() + chunk(event(1))), 1000);
  world.reportedStart = 2000;  // It started anew under its id, and its entry is still the old one.
  SUBCASE("and another engine serves") {
    // The other engine states no start, so that each of its processes has an id of its own.
    world.add("b", "v2", always(streamHead() + chunk(event(1)) + "0\r\n\r\n"));
    world.serve();
    CHECK(world.caller.body == event(1));
    CHECK(world.streams.records["r1"].software == "v2");
  }
  SUBCASE("and there is no other engine") {
    world.serve();
    CHECK(world.caller.body.empty());
    CHECK(replaced.requests() == 1);
    CHECK_FALSE(world.backends.find("a")->software.has_value());
  }
}

TEST_CASE("a process is asked for its start once for each connection") {
  SoftwareWorld world;
  world.add("a", "v1", always(streamHead() + chunk(event(1)) + "0\r\n\r\n"), 1000);
  world.reportedStart = 1000;
  world.serve();
  CHECK(world.streams.records["r1"].software == "v1");
  world.reportedStart.reset();  // Asked again, it would not answer.
  IncomingRequest next = world.request();
  RecordingCaller caller;
  world.streams.records.clear();
  world.forwarder.serve(next, caller);
  CHECK(caller.finished);
  CHECK(world.streams.records["r1"].software == "v1");
}

TEST_CASE("a stream that begins at a process without a proof is delivered, but not resumed") {
  SoftwareWorld world;
  world.add("a", "v1", breaksOnce(), 1000);
  world.serve();
  ScriptedBackend& other = world.add("b", "v1", rest());
  CHECK(world.caller.body == event(1) + event(2));
  CHECK(world.caller.broken);
  CHECK(world.streams.records.empty());
  CHECK(other.requests() == 0);
}

TEST_CASE("a stream that another node hands on keeps to the version that this node states") {
  SoftwareWorld world;
  ScriptedBackend& old = world.add("a", "v1", rest());
  ScriptedBackend& next = world.add("b", "v2", rest());
  IncomingRequest request = world.takeUp();
  request.cameFromPeer = true;
  request.boundSoftware = "v2";
  world.forwarder.serve(request, world.caller);
  CHECK(old.requests() == 0);
  CHECK(next.requests() == 1);
  REQUIRE(world.caller.heads.size() == 1);
  CHECK(world.caller.heads[0].software == "v2");
  CHECK(world.streams.asked.empty());
  CHECK(world.streams.records.empty());  // The node at the caller records it.
}

}  // namespace fernmoor::gateway
