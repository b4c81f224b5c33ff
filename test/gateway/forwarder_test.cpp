/// @file
/// Tests of src/gateway/forwarder.h over loopback: the data that reaches back ends and callers when
/// back ends reject a request, fail, break off, answer another request or fall silent.
#include "gateway/forwarder.h"

#include <doctest/doctest.h>

#include <atomic>

#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway {

namespace {

using namespace test;  // NOLINT(google-build-using-namespace)

/// Sends bytes and resets the connection.
Script thenReset(const std::string& bytes) {
  return [=](Poco::Net::StreamSocket& socket, const std::string&) {
    if (!bytes.empty()) {
      say(socket, bytes);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    socket.setLinger(true, 0);
    socket.close();
    return false;
  };
}

/// Stays silent for three times the silence limit of a repeatable request.
Script answersAfterSilence(int times) {
  return [=](Poco::Net::StreamSocket& socket, const std::string&) {
    std::this_thread::sleep_for(kSilence * 3 * times);
    say(socket, answer("200 OK", "the answer", "Id: r1\r\n"));
    return true;
  };
}

int requestsOf(const ForwarderWorld& world) {
  int sum = 0;
  for (const auto& backend : world.scripted) {
    sum += backend->requests();
  }
  return sum;
}

/// Checks for an error answer of the gateway that does not state that the request has not run.
bool promisesNothing(const RecordingCaller& caller) {
  return caller.refusals.size() == 1 && caller.refusals[0].runState == RunState::kUnknown &&
         caller.refusals[0].kind == ErrorKind::kOutcomeUnknown;
}

}  // namespace

TEST_CASE("a request and its answer pass unchanged, on a kept connection") {
  ForwarderWorld world;
  ScriptedBackend& backend =
      world.add("a", always(answer("201 Made", "the answer", "Id: r1\r\nSigned: yes\r\n")));
  world.serve();
  CHECK(backend.lastRequest().find("POST /a/b?c=d HTTP/1.1\r\n") == 0);
  CHECK(backend.lastRequest().find("Expect-Life: a\r\n") != std::string::npos);
  CHECK(backend.lastRequest().rfind("\r\n\r\nthe body") != std::string::npos);
  REQUIRE(world.caller.heads.size() == 1);
  CHECK(world.caller.heads[0].status == 201);
  CHECK(world.caller.heads[0].reason == "Made");
  CHECK(world.caller.heads[0].headers.get("Signed") == "yes");
  CHECK(world.caller.body == "the answer");
  CHECK(world.caller.finished);
  world.serve();
  CHECK(backend.requests() == 2);
  CHECK(backend.connectionCount() == 1);
}

TEST_CASE("bytes after a whole answer belong to nobody and end the connection") {
  ForwarderWorld world;
  ScriptedBackend& backend = world.add("a", always(answer("200 OK", "x") + "HTTP/1.1 200 OK"));
  world.serve();
  world.serve();
  CHECK(world.caller.body == "xx");
  CHECK(backend.connectionCount() == 2);
}

TEST_CASE("an answer to another request is never passed on, and the request may have run") {
  ForwarderWorld world;
  world.add("a", always(answer("200 OK", "somebody else's", "Id: r0\r\n")));
  world.add("b", always(answer("200 OK", "somebody else's", "Id: r0\r\n")));
  world.serve();
  CHECK(world.caller.heads.empty());
  CHECK(promisesNothing(world.caller));
  CHECK(requestsOf(world) == 1);
}

TEST_CASE("a request that may run once is not sent again after a reset") {
  ForwarderWorld world;
  world.add("a", thenReset(""));
  world.add("b", thenReset(""));
  world.serve();
  CHECK(requestsOf(world) == 1);
  CHECK(promisesNothing(world.caller));
}

TEST_CASE("answers are held until they are whole only while there is room for all that are held") {
  const std::string begun = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 100\r\n\r\nbegun";
  ForwarderWorld world;
  world.row.repetition = Repetition::kRepeatable;
  world.add("a", thenReset(begun));
  world.add("b", thenReset(begun));
  SUBCASE("with room, one that breaks off never reaches the caller") {
    world.serve();
    CHECK(world.caller.body.empty());
    CHECK(requestsOf(world) == 2);
  }
  SUBCASE("without room, it is passed on as it comes") {
    HeldBytes others(world.heldBytes);
    REQUIRE(others.add(kHeldBytes));
    world.serve();
    CHECK(world.caller.body == "begun");
    CHECK(world.caller.broken);
    CHECK(requestsOf(world) == 1);
    CHECK(world.heldBytes.held() == kHeldBytes);
  }
}

TEST_CASE("an event that does not end is no reason to hold all of it") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const auto streamOf = [&](size_t bytes) {
    return always(head + chunk("data: first\n\n") + chunk(std::string(bytes, 'x') + "\n\n") +
                  "0\r\n\r\n");
  };
  ForwarderWorld world;
  SUBCASE("a long one is passed on whole") {
    world.add("a", streamOf(200000));
    world.serve();
    CHECK(world.caller.body.size() > 200000);
    CHECK(world.caller.finished);
  }
  SUBCASE("beyond the bound the stream is broken off") {
    world.add("a", streamOf(2000000));
    world.serve();
    CHECK(world.caller.body == "data: first\n\n");
    CHECK(world.caller.broken);
  }
  SUBCASE("so is one for which there is no room beside what others hold") {
    HeldBytes others(world.heldBytes);
    REQUIRE(others.add(kHeldBytes - 50000));
    world.add("a", streamOf(200000));
    world.serve();
    CHECK(world.caller.body == "data: first\n\n");
    CHECK(world.caller.broken);
    CHECK(world.heldBytes.held() == kHeldBytes - 50000);
  }
}

TEST_CASE("a long body reaches the back end whole behind its head") {
  ForwarderWorld world;
  ScriptedBackend& backend = world.add("a", always(answer("200 OK", "x")));
  IncomingRequest request = world.request();
  request.body = std::string(300000, 'b') + "end";
  world.forwarder.serve(request, world.caller);
  world.forwarder.serve(request, world.caller);
  CHECK(world.caller.body == "xx");
  CHECK(backend.connectionCount() == 1);
  const std::string sent = backend.lastRequest();
  CHECK(sent.substr(sent.find("\r\n\r\n") + 4) == request.body);
}

TEST_CASE("a request that may run again is sent to another back end, within its attempts") {
  ForwarderWorld world;
  world.row.repetition = Repetition::kRepeatable;
  for (const char* id : {"a", "b", "c"}) {
    world.add(id, thenReset(""));
  }
  world.serve();
  CHECK(requestsOf(world) == 2);
  CHECK(promisesNothing(world.caller));
}

TEST_CASE("a back end that vouches not to have run a request frees it for another") {
  ForwarderWorld world;
  world.row.maxAttempts = 1;
  std::atomic<bool> hasRefused{false};  // Set before the answer: the next back end may be quick.
  const Script once = [&](Poco::Net::StreamSocket& socket, const std::string&) {
    const bool isSecond = hasRefused.exchange(true);
    say(socket,
        isSecond ? answer("200 OK", "done") : answer("503 Full", "", "Id: r1\r\nNot-Run: 1\r\n"));
    return true;
  };
  world.add("a", once);
  world.add("b", once);
  world.serve();
  CHECK(requestsOf(world) == 2);
  CHECK(world.caller.body == "done");
}

TEST_CASE("refused by all, the caller hears at once that it has not run and when to come back") {
  ForwarderWorld world;
  const std::string full = answer("503 Full", "", "Id: r1\r\nNot-Run: 1\r\n");
  world.add("a", always(full));
  world.add("b", always(full));
  world.serve();
  CHECK(promisesNotRun(world.caller));
}

TEST_CASE("a second send needs the budget") {
  ForwarderWorld world(0);
  const std::string full = answer("503 Full", "", "Id: r1\r\nNot-Run: 1\r\n");
  world.add("a", always(full));
  world.add("b", always(full));
  world.serve();
  CHECK(requestsOf(world) == 1);
  CHECK(promisesNotRun(world.caller));
}

TEST_CASE("a silent back end is left for another where a second send is paid for") {
  ForwarderWorld world;
  world.row.repetition = Repetition::kRepeatable;
  for (const char* id : {"a", "b"}) {
    world.add(id, answersAfterSilence(id == std::string("a") ? 1 : 2));
  }
  world.serve();
  CHECK(world.caller.finished);
  CHECK(requestsOf(world) == 2);
}

TEST_CASE("without a second send to spend, a request stays with its silent back end to the end") {
  ForwarderWorld world(0);
  world.row.repetition = Repetition::kRepeatable;
  for (const char* id : {"a", "b"}) {
    world.add(id, answersAfterSilence(id == std::string("a") ? 1 : 2));
  }
  world.serve();
  CHECK(world.caller.finished);
  CHECK(world.caller.refusals.empty());
  CHECK(requestsOf(world) == 1);
}

TEST_CASE("without a second send to spend, a stream outlasts a pause of its engine") {
  ForwarderWorld world(0);
  world.row.isStream = true;
  world.row.isResumable = true;
  world.add("a", [](Poco::Net::StreamSocket& socket, const std::string&) {
    say(socket, streamHead() + chunk(event(1)));
    std::this_thread::sleep_for(kSilence * 3);
    say(socket, chunk(event(2)) + "0\r\n\r\n");
    return true;
  });
  world.serve();
  CHECK(world.caller.finished);
  CHECK(world.caller.body == event(1) + event(2));
}

TEST_CASE("without back ends a request is refused at once") {
  ForwarderWorld world;
  world.serve();
  CHECK(promisesNotRun(world.caller));
}

TEST_CASE("a back end that takes no connection has not run anything") {
  ForwarderWorld world;
  BackendListing gone;
  gone.id = "gone";
  gone.pool = "pool";
  {
    Poco::Net::ServerSocket unused(Poco::Net::SocketAddress("127.0.0.1", 0));
    gone.address = SocketAddress{"127.0.0.1", unused.address().port()};
  }
  world.backends.update(gone, world.clock.now());
  world.serve();
  CHECK(promisesNotRun(world.caller));
}

TEST_CASE("a failure of its own passes with its signature; a repeatable one is tried elsewhere") {
  ForwarderWorld once;
  once.add("a", always(answer("500 Oops", "failed", "Id: r1\r\nSigned: a\r\n")));
  once.add("b", always(answer("500 Oops", "failed", "Id: r1\r\nSigned: a\r\n")));
  once.serve();
  CHECK(requestsOf(once) == 1);
  REQUIRE(once.caller.heads.size() == 1);
  CHECK(once.caller.heads[0].status == 500);
  CHECK(once.caller.body == "failed");

  ForwarderWorld again;
  again.row.repetition = Repetition::kRepeatable;
  std::atomic<bool> hasFailed{false};
  const Script script = [&](Poco::Net::StreamSocket& socket, const std::string&) {
    const bool isSecond = hasFailed.exchange(true);
    say(socket, isSecond ? answer("200 OK", "done") : answer("500 Oops", "failed"));
    return true;
  };
  again.add("a", script);
  again.add("b", script);
  again.serve();
  CHECK(again.caller.body == "done");
}

TEST_CASE("if nobody does better, the failure of a back end is the answer") {
  ForwarderWorld world;
  world.row.repetition = Repetition::kRepeatable;
  world.add("a", always(answer("500 Oops", "failed", "Id: r1\r\nSigned: a\r\n")));
  world.serve();
  REQUIRE(world.caller.heads.size() == 1);
  CHECK(world.caller.heads[0].status == 500);
  CHECK(world.caller.body == "failed");
  CHECK(world.caller.refusals.empty());
}

TEST_CASE("an answer that breaks off never reaches the caller as whole") {
  for (const std::string& partial :
       {std::string("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nhalf"),
        std::string("HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
        std::string("HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhalf"), std::string("HTTP/1.1 2"),
        std::string("garbage that is no answer\r\n\r\n")}) {
    CAPTURE(partial);
    ForwarderWorld world;
    world.add("a", thenReset(partial));
    world.serve();
    CHECK(world.caller.heads.empty());
    CHECK_FALSE(world.caller.finished);
    CHECK(promisesNothing(world.caller));
  }
}

TEST_CASE("a stream that breaks off and may not be resumed is broken off for the caller") {
  ForwarderWorld world;
  world.row.isStream = true;
  world.add("a", thenReset(streamHead() + chunk(event(1) + "id: 2\ndata: ha")));
  world.add("b", thenReset(streamHead() + chunk(event(1))));
  world.serve();
  CHECK(requestsOf(world) == 1);
  CHECK(world.caller.body == event(1));
  CHECK(world.caller.broken);
  CHECK_FALSE(world.caller.finished);
}

TEST_CASE("a stream that may be resumed goes on elsewhere after its last whole event") {
  ForwarderWorld world;
  world.row.isStream = true;
  world.row.isResumable = true;
  std::atomic<int> turn{0};
  std::string second;
  const Script script = [&](Poco::Net::StreamSocket& socket, const std::string& request) {
    if (turn++ == 0) {
      return thenReset(streamHead() + chunk(event(1) + event(2) + "id: 3\ndata: ha"))(socket,
                                                                                      request);
    }
    second = request;
    say(socket, streamHead() + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n");
    return true;
  };
  world.add("a", script);
  world.add("b", script);
  world.serve();
  CHECK(second.find("Resume-After: 2\r\n") != std::string::npos);
  CHECK(world.caller.heads.size() == 1);
  CHECK(world.caller.body == event(1) + event(2) + event(3) + event(4));
  CHECK(world.caller.finished);
  CHECK_FALSE(world.caller.broken);
}

TEST_CASE("a failure that was held back never follows the head of another answer") {
  ForwarderWorld world;
  world.row.isStream = true;
  world.row.isResumable = true;
  std::atomic<int> turn{0};
  const Script script = [&](Poco::Net::StreamSocket& socket, const std::string& request) {
    if (turn++ == 0) {
      say(socket, answer("500 Oops", "failed"));
      return true;
    }
    return thenReset(streamHead() + chunk(event(1)))(socket, request);
  };
  world.add("a", script);
  world.add("b", script);
  world.serve();
  CHECK(requestsOf(world) == 2);
  CHECK(world.caller.heads.size() == 1);
  CHECK(world.caller.body == event(1));
  CHECK(world.caller.broken);
  CHECK_FALSE(world.caller.finished);
}

TEST_CASE("a stream that ends in the middle of an event is not complete") {
  ForwarderWorld world;
  world.row.isStream = true;
  world.add("a", always(streamHead() + chunk(event(1) + "id: 2\nda") + "0\r\n\r\n"));
  world.serve();
  CHECK_FALSE(world.caller.finished);
  CHECK(world.caller.broken);
}

TEST_CASE("when the caller leaves, the back end's connection is closed") {
  ForwarderWorld world;
  std::atomic<bool> closed{false};
  world.add("a", [&](Poco::Net::StreamSocket& socket, const std::string&) {
    world.caller.socket.far.close();
    char byte = 0;
    closed = socket.receiveBytes(&byte, 1) <= 0;
    return false;
  });
  world.serve();
  CHECK(world.caller.broken);
  CHECK(world.caller.refusals.empty());
  world.scripted.clear();  // Joins the script.
  CHECK(closed);
}

TEST_CASE("a key is checked again right before a request is sent") {
  ForwarderWorld world;
  ScriptedBackend& backend = world.add("a", always(answer("200 OK", "x")));
  IncomingRequest request = world.request();
  request.tenant = Tenant{"sese", false, 0};
  request.key = "key";
  auto without = std::make_shared<TrafficTable>();
  without->version = 2;
  world.table.take(without, world.clock.now());
  world.forwarder.serve(request, world.caller);
  CHECK(backend.requests() == 0);
  CHECK(promisesNotRun(world.caller));
}

TEST_CASE("a keyed request is refused while the table cannot be proven new enough") {
  ForwarderWorld world;
  ScriptedBackend& backend = world.add("a", always(answer("200 OK", "x")));
  TableInForce old;
  auto table = std::make_shared<TrafficTable>();
  table->addTenant(Tenant{"sese", false, 0}, {"key"});
  old.take(table, world.clock.now() - std::chrono::seconds(6));
  Forwarder forwarder(
      ForwarderServices{world.clock, old, world.backends, world.connections, world.budget,
                        world.protocol, world.wanted, world.hints, world.loads, world.limits,
                        world.quarantine, world.cutOffRuns, world.metrics, world.heldBytes},
      ForwarderOptions{"zone", std::chrono::seconds(5), 1});
  IncomingRequest request = world.request();
  request.tenant = Tenant{"sese", false, 0};
  request.key = "key";
  forwarder.serve(request, world.caller);
  CHECK(backend.requests() == 0);
  CHECK(promisesNotRun(world.caller));
}

TEST_CASE("requests, refusals and first tokens are measured by service and tenant") {
  ForwarderWorld world;
  IncomingRequest request = world.request();
  request.tenant = Tenant{"sese", false, 0};
  request.key = "key";
  world.forwarder.serve(request, world.caller);  // There is no back end yet.
  world.add("a", always(answer("200 OK", "the answer", "Id: r1\r\n")));
  world.forwarder.serve(request, world.caller);
  const ClassTotals totals = world.metrics.classTotals().front();
  CHECK(totals.requestClass.service == ServiceId("pool"));
  CHECK(totals.requestClass.tenant == TenantId("sese"));
  CHECK(totals.requests == 2);
  CHECK(totals.refusals == 1);
  double firstTokens = 0;
  for (const double count : totals.firstTokenCounts) {
    firstTokens += count;
  }
  CHECK(firstTokens == 1);
}

}  // namespace fernmoor::gateway
