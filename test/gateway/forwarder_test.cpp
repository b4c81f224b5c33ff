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
Script sendThenReset(const std::string& bytes) {
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

/// Answers after `times` times three silence limits of a repeatable request.
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
bool statesOutcomeUnknown(const RecordingCaller& caller) {
  return caller.refusals.size() == 1 && caller.refusals[0].runState == RunState::kUnknown &&
         caller.refusals[0].kind == ErrorKind::kOutcomeUnknown;
}

}  // namespace

TEST_CASE("a request and its answer are forwarded unchanged on a persistent connection") {
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

TEST_CASE("bytes after a complete answer are discarded and the connection is closed") {
  ForwarderWorld world;
  ScriptedBackend& backend = world.add("a", always(answer("200 OK", "x") + "HTTP/1.1 200 OK"));
  world.serve();
  world.serve();
  CHECK(world.caller.body == "xx");
  CHECK(backend.connectionCount() == 2);
}

TEST_CASE("an answer to another request is not forwarded, and the outcome is reported as unknown") {
  ForwarderWorld world;
  world.add("a", always(answer("200 OK", "somebody else's", "Id: r0\r\n")));
  world.add("b", always(answer("200 OK", "somebody else's", "Id: r0\r\n")));
  world.serve();
  CHECK(world.caller.heads.empty());
  CHECK(statesOutcomeUnknown(world.caller));
  CHECK(requestsOf(world) == 1);
}

TEST_CASE("a request that may run once is not sent again after a reset") {
  ForwarderWorld world;
  world.add("a", sendThenReset(""));
  world.add("b", sendThenReset(""));
  world.serve();
  CHECK(requestsOf(world) == 1);
  CHECK(statesOutcomeUnknown(world.caller));
}

TEST_CASE("answers are buffered until complete only while the buffer budget has room") {
  const std::string begun = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 100\r\n\r\nbegun";
  ForwarderWorld world;
  world.row.repetition = Repetition::kRepeatable;
  world.add("a", sendThenReset(begun));
  world.add("b", sendThenReset(begun));
  SUBCASE("with room, a truncated answer does not reach the caller") {
    world.serve();
    CHECK(world.caller.body.empty());
    CHECK(requestsOf(world) == 2);
  }
  SUBCASE("without room, the answer is forwarded as it arrives") {
    HeldBytes others(world.heldBytes);
    REQUIRE(others.add(kHeldBytes));
    world.serve();
    CHECK(world.caller.body == "begun");
    CHECK(world.caller.broken);
    CHECK(requestsOf(world) == 1);
    CHECK(world.heldBytes.held() == kHeldBytes);
  }
}

TEST_CASE("the buffering of an unterminated event is bounded") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const auto streamOf = [&](size_t bytes) {
    return always(head + chunk("data: first\n\n") + chunk(std::string(bytes, 'x') + "\n\n") +
                  "0\r\n\r\n");
  };
  ForwarderWorld world;
  SUBCASE("a long event is forwarded completely") {
    world.add("a", streamOf(200000));
    world.serve();
    CHECK(world.caller.body.size() > 200000);
    CHECK(world.caller.finished);
  }
  SUBCASE("an event over the bound aborts the stream") {
    world.add("a", streamOf(2000000));
    world.serve();
    CHECK(world.caller.body == "data: first\n\n");
    CHECK(world.caller.broken);
  }
  SUBCASE("an event over the remaining buffer budget aborts the stream") {
    HeldBytes others(world.heldBytes);
    REQUIRE(others.add(kHeldBytes - 50000));
    world.add("a", streamOf(200000));
    world.serve();
    CHECK(world.caller.body == "data: first\n\n");
    CHECK(world.caller.broken);
    CHECK(world.heldBytes.held() == kHeldBytes - 50000);
  }
}

TEST_CASE("a long body reaches the back end complete after its head") {
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

TEST_CASE("a repeatable request is sent to another back end up to its attempt limit") {
  ForwarderWorld world;
  world.row.repetition = Repetition::kRepeatable;
  for (const char* id : {"a", "b", "c"}) {
    world.add(id, sendThenReset(""));
  }
  world.serve();
  CHECK(requestsOf(world) == 2);
  CHECK(statesOutcomeUnknown(world.caller));
}

TEST_CASE("a request that a back end states not to have run is sent to another") {
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

TEST_CASE("a request rejected by all back ends is refused as not run, with a retry time") {
  ForwarderWorld world;
  const std::string full = answer("503 Full", "", "Id: r1\r\nNot-Run: 1\r\n");
  world.add("a", always(full));
  world.add("b", always(full));
  world.serve();
  CHECK(promisesNotRun(world.caller));
}

TEST_CASE("a second send is not made without budget") {
  ForwarderWorld world(0);
  const std::string full = answer("503 Full", "", "Id: r1\r\nNot-Run: 1\r\n");
  world.add("a", always(full));
  world.add("b", always(full));
  world.serve();
  CHECK(requestsOf(world) == 1);
  CHECK(promisesNotRun(world.caller));
}

TEST_CASE("a request to a silent back end is sent to another if the second-send budget allows it") {
  ForwarderWorld world;
  world.row.repetition = Repetition::kRepeatable;
  for (const char* id : {"a", "b"}) {
    world.add(id, answersAfterSilence(id == std::string("a") ? 1 : 2));
  }
  world.serve();
  CHECK(world.caller.finished);
  CHECK(requestsOf(world) == 2);
}

TEST_CASE("without second-send budget, a request waits for its silent back end") {
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

TEST_CASE("without second-send budget, a stream continues after a pause of its engine") {
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

TEST_CASE("a request whose back end accepts no connection is reported as not run") {
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

TEST_CASE("a back end's error answer is forwarded; a repeatable request is retried elsewhere") {
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

TEST_CASE("the error answer of a back end is forwarded if no other back end succeeds") {
  ForwarderWorld world;
  world.row.repetition = Repetition::kRepeatable;
  world.add("a", always(answer("500 Oops", "failed", "Id: r1\r\nSigned: a\r\n")));
  world.serve();
  REQUIRE(world.caller.heads.size() == 1);
  CHECK(world.caller.heads[0].status == 500);
  CHECK(world.caller.body == "failed");
  CHECK(world.caller.refusals.empty());
}

TEST_CASE("a truncated answer is not forwarded as complete") {
  for (const std::string& partial :
       {std::string("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nhalf"),
        std::string("HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
        std::string("HTTP/1.1 200 OK\r\nId: r1\r\n\r\nhalf"), std::string("HTTP/1.1 2"),
        std::string("garbage that is no answer\r\n\r\n")}) {
    CAPTURE(partial);
    ForwarderWorld world;
    world.add("a", sendThenReset(partial));
    world.serve();
    CHECK(world.caller.heads.empty());
    CHECK_FALSE(world.caller.finished);
    CHECK(statesOutcomeUnknown(world.caller));
  }
}

TEST_CASE("a truncated stream that is not resumable is aborted for the caller") {
  ForwarderWorld world;
  world.row.isStream = true;
  world.add("a", sendThenReset(streamHead() + chunk(event(1) + "id: 2\ndata: ha")));
  world.add("b", sendThenReset(streamHead() + chunk(event(1))));
  world.serve();
  CHECK(requestsOf(world) == 1);
  CHECK(world.caller.body == event(1));
  CHECK(world.caller.broken);
  CHECK_FALSE(world.caller.finished);
}

TEST_CASE("a resumable stream continues on another back end after its last complete event") {
  ForwarderWorld world;
  world.row.isStream = true;
  world.row.isResumable = true;
  std::atomic<int> turn{0};
  std::string second;
  const Script script = [&](Poco::Net::StreamSocket& socket, const std::string& request) {
    if (turn++ == 0) {
      return sendThenReset(streamHead() + chunk(event(1) + event(2) + "id: 3\ndata: ha"))(socket,
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

TEST_CASE("a withheld error answer is not sent after the head of another answer") {
  ForwarderWorld world;
  world.row.isStream = true;
  world.row.isResumable = true;
  std::atomic<int> turn{0};
  const Script script = [&](Poco::Net::StreamSocket& socket, const std::string& request) {
    if (turn++ == 0) {
      say(socket, answer("500 Oops", "failed"));
      return true;
    }
    return sendThenReset(streamHead() + chunk(event(1)))(socket, request);
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

TEST_CASE("the back end's connection is closed when the caller disconnects") {
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

TEST_CASE("a request with a key is refused while the table is not confirmed as fresh") {
  ForwarderWorld world;
  ScriptedBackend& backend = world.add("a", always(answer("200 OK", "x")));
  TableInForce old;
  auto table = std::make_shared<TrafficTable>();
  table->addTenant(Tenant{"sese", false, 0}, {"key"});
  old.take(table, world.clock.now() - std::chrono::seconds(6));
  Forwarder forwarder(
      ForwarderServices{world.clock, old, world.backends, world.connections, world.budget,
                        world.protocol, world.wanted, world.hints, world.loads, world.limits,
                        world.quarantine, world.streams,
                        [](const std::string&) { return std::nullopt; }, world.cutOffRuns,
                        world.reach, world.peers, world.metrics, world.heldBytes},
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
