/// @file
/// Tests of platform/ingress.h over loopback with a scripted engine: which requests are accepted,
/// what is forwarded to engines, and what callers receive.
#include "platform/ingress.h"

#include <doctest/doctest.h>

#include "test/platform/ingress_world.h"

namespace fernmoor::platform {

using gateway::test::chunk;
using gateway::test::say;
using gateway::test::ScriptedBackend;
using test::answerAsEngine;
using test::IngressWorld;
using test::kFarFromLimit;
using test::kHeldBytes;
using test::kMemoryLimit;
using test::kNearLimit;
using test::statusOf;

TEST_CASE("a request is forwarded with the name of the tenant and without the key") {
  IngressWorld world;
  const std::string answer = world.exchange(
      IngressWorld::head("X-Tenant: forged\r\nX-Cache-Salt: forged\r\nX-Expect-Instance: forged\r\n"
                         "X-Other: kept\r\nConnection: close, X-Secret\r\nX-Secret: dropped\r\n"
                         "Content-Length: 3\r\n\r\nabc"));
  CHECK(statusOf(answer) == "HTTP/1.1 200");
  CHECK(answer.find("X-Server-Stamp: s1\r\n") != std::string::npos);
  CHECK(answer.find("\r\n\r\ndone") != std::string::npos);
  const std::string sent = world.engine.lastRequest();
  CHECK(sent.find("X-Tenant: sese\r\n") != std::string::npos);
  CHECK(sent.find("X-Expect-Instance: i-1\r\n") != std::string::npos);
  CHECK(sent.find("X-Other: kept\r\n") != std::string::npos);
  CHECK(sent.find("forged") == std::string::npos);
  CHECK(sent.find("dropped") == std::string::npos);
  CHECK(sent.find("Api-Key") == std::string::npos);
  CHECK(sent.rfind("\r\n\r\nabc") != std::string::npos);
}

TEST_CASE("a mark that a request was handed on only restricts, whoever sets it") {
  IngressWorld world;
  const std::string marked = IngressWorld::head(
      "Fernmoor-Handed-On: 1\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc");
  SUBCASE("the engine does not see it") {
    CHECK(statusOf(world.exchange(marked)) == "HTTP/1.1 200");
    CHECK(world.engine.lastRequest().find("Handed-On") == std::string::npos);
  }
  SUBCASE("the key is checked all the same") {
    const std::string forged = IngressWorld::head(
        "Fernmoor-Handed-On: 0\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", "/a/x", "no");
    CHECK(statusOf(world.exchange(forged)) == "HTTP/1.1 401");
  }
  SUBCASE("the tenant's limit counts") {
    world.exchange(marked);
    CHECK(world.limits.counted > 0);
  }
  SUBCASE("odd values are no number of runs") {
    for (const char* const odd : {"-1", "abc", "", "99999999999999999999"}) {
      const std::string head = IngressWorld::head(std::string("Fernmoor-Handed-On: ") + odd +
                                                  "\r\nConnection: close\r\nContent-Length: 3"
                                                  "\r\n\r\nabc");
      CHECK(statusOf(world.exchange(head)) == "HTTP/1.1 200");
    }
  }
  SUBCASE("a node that reaches no engine rejects it at once, not run") {
    world.reach.noteUnreached("i-1");
    world.reach.step();
    const std::string answer = world.exchange(marked);
    CHECK(statusOf(answer) == "HTTP/1.1 503");
    CHECK(answer.find("Retry-After: 0.02") != std::string::npos);
    CHECK(world.engine.requests() == 0);
  }
}

TEST_CASE("a request is handed to another node as its caller sent it") {
  IngressWorld receiving;
  IngressWorld partitioned;
  partitioned.reach.noteUnreached("i-1");
  partitioned.reach.step();
  partitioned.nodes.listed.push_back(gateway::PeerNode{NodeId(2), receiving.address, "z", true});
  const std::string answer = partitioned.exchange(IngressWorld::head(
      "X-Model: m\r\nX-Prefix-Hash: a:1,b:2\r\nX-Deadline-Ms: 900\r\nX-Other: kept\r\n"
      "Connection: close\r\nContent-Length: 3\r\n\r\nabc"));
  CHECK(statusOf(answer) == "HTTP/1.1 200");
  CHECK(answer.find("X-Server-Stamp: s1\r\n") != std::string::npos);
  CHECK(answer.find("\r\n\r\ndone") != std::string::npos);
  CHECK(partitioned.engine.requests() == 0);
  const std::string sent = receiving.engine.lastRequest();
  CHECK(sent.find("X-Request-Id: r1\r\n") != std::string::npos);
  CHECK(sent.find("X-Tenant: sese\r\n") != std::string::npos);
  CHECK(sent.find("X-Prefix-Hash: a:1,b:2\r\n") != std::string::npos);
  CHECK(sent.find("X-Other: kept\r\n") != std::string::npos);
  CHECK(sent.find("Api-Key") == std::string::npos);
  CHECK(sent.find("Handed-On") == std::string::npos);
  const size_t deadline = sent.find("X-Deadline-Ms: ");
  REQUIRE(deadline != std::string::npos);
  CHECK(std::strtol(sent.c_str() + deadline + 15, nullptr, 10) <= 900);
  CHECK(partitioned.limits.counted == 0);
  CHECK(receiving.limits.counted > 0);
}

TEST_CASE("nodes tell each other the software version of a stream, and nobody else") {
  IngressWorld receiving;
  IngressWorld partitioned;
  partitioned.reach.noteUnreached("i-1");
  partitioned.reach.step();
  partitioned.nodes.listed.push_back(gateway::PeerNode{NodeId(2), receiving.address, "z", true});
  SUBCASE("of one that begins") {
    const std::string answer = partitioned.exchange(IngressWorld::head(
        "Fernmoor-Stream-Software: forged\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        "/s/x"));
    CHECK(answer.find("id: 1\n") != std::string::npos);
    CHECK(answer.find("Stream-Software") == std::string::npos);
    CHECK(receiving.engine.lastRequest().find("Stream-Software") == std::string::npos);
    CHECK(partitioned.streams.records["r1"].software == "v9");
    CHECK(receiving.streams.records.empty());
  }
  SUBCASE("of one that is taken up") {
    const std::string takeUp = IngressWorld::head(
        "Last-Event-Id: 4\r\nResumes: r0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        "/s/x");
    partitioned.streams.records["r0"] = gateway::StreamBinding{"pool", "v9"};
    CHECK(statusOf(partitioned.exchange(takeUp)) == "HTTP/1.1 200");
    CHECK(receiving.engine.lastRequest().find("Last-Event-Id: 4\r\n") != std::string::npos);
    CHECK(receiving.streams.asked.empty());
    partitioned.streams.records["r0"].software = "v8";
    CHECK(statusOf(partitioned.exchange(takeUp)) == "HTTP/1.1 503");
    CHECK(receiving.engine.requests() == 1);
  }
}

TEST_CASE("a chunked body is forwarded completely") {
  IngressWorld world;
  const std::string answer =
      world.exchange(IngressWorld::head("Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                        chunk("abc") + chunk("defg") + "0\r\n\r\n"));
  CHECK(statusOf(answer) == "HTTP/1.1 200");
  CHECK(world.engine.lastRequest().rfind("\r\n\r\nabcdefg") != std::string::npos);
}

TEST_CASE("messages with ambiguous framing are never forwarded to an engine") {
  const std::string inner =
      "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r2\r\nApi-Key: key\r\n"
      "Content-Length: 0\r\n\r\n";
  for (const std::string& bytes :
       {IngressWorld::head("Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde") + inner,
        IngressWorld::head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") +
            inner,
        IngressWorld::head("Content-Length: -1\r\n\r\n") + inner,
        IngressWorld::head("Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n") + inner,
        IngressWorld::head("Content-Length: 9\r\n\r\nabc"),
        IngressWorld::head("Host: other.example\r\nContent-Length: 0\r\n\r\n") + inner,
        IngressWorld::head("X-Request-Id: r9\r\nContent-Length: 0\r\n\r\n") + inner,
        std::string("POST /a/x HTTP/1.1\nHost: h.example\n\n") + inner,
        std::string("POST /a/x HTTP/3.0\r\nHost: h.example\r\n\r\n") + inner,
        std::string("nonsense\r\n\r\n") + inner}) {
    CAPTURE(bytes);
    IngressWorld world;
    const std::string answer = world.exchange(bytes, true);
    CHECK(statusOf(answer) == "HTTP/1.1 400");
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(world.engine.requests() == 0);
  }
}

TEST_CASE("too large headers and bodies are rejected with their own statuses") {
  IngressWorld world;
  CHECK(statusOf(world.exchange(IngressWorld::head("Content-Length: 1001\r\n\r\n"))) ==
        "HTTP/1.1 413");
  CHECK(statusOf(world.exchange(IngressWorld::head("Transfer-Encoding: chunked\r\n\r\n" +
                                                   chunk(std::string(1001, 'x'))))) ==
        "HTTP/1.1 413");
  CHECK(statusOf(world.exchange(IngressWorld::head("X: " + std::string(4000, 'x') + "\r\n\r\n"))) ==
        "HTTP/1.1 431");
  CHECK(world.engine.requests() == 0);
}

TEST_CASE("unknown keys and paths are denied with a fresh table, and the connection is kept open") {
  IngressWorld world;
  const std::string answers =
      world.exchange(IngressWorld::head("Content-Length: 2\r\n\r\nab", "/a/x", "wrong") +
                     IngressWorld::head("Content-Length: 2\r\n\r\nab", "/b/x") +
                     IngressWorld::head("Connection: close\r\nContent-Length: 2\r\n\r\nab"));
  CHECK(answers.find("HTTP/1.1 401") == 0);
  CHECK(answers.find("HTTP/1.1 404") != std::string::npos);
  CHECK(answers.find("HTTP/1.1 200") != std::string::npos);
  CHECK(world.engine.requests() == 1);
}

TEST_CASE("with a stale table no request is denied and no key is accepted") {
  IngressWorld world(std::chrono::seconds(5));
  for (const std::string& bytes : {IngressWorld::head("Content-Length: 0\r\n\r\n", "/a/x", "wrong"),
                                   IngressWorld::head("Content-Length: 0\r\n\r\n", "/b/x"),
                                   IngressWorld::head("Content-Length: 0\r\n\r\n")}) {
    const std::string answer = world.exchange(bytes, true);
    CHECK(statusOf(answer) == "HTTP/1.1 503");
    CHECK(answer.find("Retry-After: ") != std::string::npos);
  }
  CHECK(world.engine.requests() == 0);
}

TEST_CASE("with a stale table a node leaves requests to other nodes that can verify them") {
  IngressWorld world(std::chrono::seconds(5));
  SUBCASE("a request that was handed on may go to the next node at once") {
    const std::string handedOn = std::string(names::kHandedOn) + ": 0\r\n";
    const std::string answer =
        world.exchange(IngressWorld::head(handedOn + "Content-Length: 0\r\n\r\n"), true);
    CHECK(statusOf(answer) == "HTTP/1.1 503");
    CHECK(answer.find("Retry-After: 0.020\r\n") != std::string::npos);
  }
  SUBCASE("a node that reaches no engine hands it on") {
    world.reach.noteUnreached("i-1");
    world.reach.step();
    world.nodes.listed.push_back(gateway::PeerNode{NodeId(1), world.engine.address(), "z", true});
    const std::string answer =
        world.exchange(IngressWorld::head("Connection: close\r\nContent-Length: 0\r\n\r\n"));
    CHECK(statusOf(answer) == "HTTP/1.1 200");
    CHECK(world.engine.lastRequest().find(names::kHandedOn) != std::string::npos);
  }
}

TEST_CASE("a stopping node announces the close of the connection, later rejects with Retry-After") {
  IngressWorld world;
  world.work.stop(world.clock.now());
  const std::string served = world.exchange(IngressWorld::head("Content-Length: 0\r\n\r\n"));
  CHECK(statusOf(served) == "HTTP/1.1 200");
  CHECK(served.find("Connection: close\r\n") != std::string::npos);
  IngressWorld late;
  late.work.stop(late.clock.now() - std::chrono::seconds(4));
  const std::string refused = late.exchange(IngressWorld::head("Content-Length: 0\r\n\r\n"));
  CHECK(statusOf(refused) == "HTTP/1.1 503");
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(late.engine.requests() == 0);
}

TEST_CASE("requests are rejected when all callers together exceed the limit of held bytes") {
  IngressWorld world;
  SUBCASE("each request releases its bytes") {
    std::string requests;
    for (int request = 0; request < 20; ++request) {
      requests += IngressWorld::head("Content-Length: 900\r\n\r\n" + std::string(900, 'x'));
    }
    const std::string answers =
        world.exchange(requests + IngressWorld::head("Connection: close\r\n\r\n"));
    CHECK(answers.find("503") == std::string::npos);
    CHECK(world.engine.requests() == 21);
  }
  SUBCASE(
      "a body over the limit is rejected before it is read, or while it is read if its length is "
      "unknown") {
    gateway::HeldBytes others(world.heldBytes);
    REQUIRE(others.add(kHeldBytes - 500));
    const std::string answers =
        world.exchange(IngressWorld::head("Content-Length: 400\r\n\r\n" + std::string(400, 'x')) +
                       IngressWorld::head("Transfer-Encoding: chunked\r\n\r\n" +
                                          chunk(std::string(400, 'x')) + "0\r\n\r\n"));
    const size_t second = answers.find("HTTP/1.1 503", 1);
    CHECK(statusOf(answers) == "HTTP/1.1 503");
    REQUIRE(second != std::string::npos);
    CHECK(answers.find("\"kind\":\"overloaded\"") < second);
    CHECK(answers.find("Connection: close") > second);
    CHECK(world.engine.requests() == 0);
    others.clear();
    CHECK(statusOf(world.exchange(IngressWorld::head("Connection: close\r\n\r\n"))) ==
          "HTTP/1.1 200");
  }
}

TEST_CASE("a caller that sends a byte now and then after its rejection holds no thread for ever") {
  IngressWorld world;
  Poco::Net::StreamSocket socket = world.connect();
  say(socket, IngressWorld::head("Content-Length: 100000000\r\n\r\n"));
  constexpr int kMostBytes = 200;
  int sent = 0;
  try {
    for (; sent < kMostBytes; ++sent) {
      say(socket, "x");
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  } catch (const Poco::Exception&) {
    // The node closed the connection.
  }
  CHECK(sent < kMostBytes);
}

TEST_CASE("a caller that keeps sending after its rejection is disconnected eventually") {
  IngressWorld world;
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(world.address.host, world.address.port));
  say(socket, IngressWorld::head("Content-Length: 100000000\r\n\r\n"));
  const std::string piece(1 << 20, 'x');
  size_t taken = 0;
  try {
    while (taken < (size_t{64} << 20)) {
      taken += static_cast<size_t>(socket.sendBytes(piece.data(), static_cast<int>(piece.size())));
    }
  } catch (const Poco::Exception&) {
    // The node reset the connection.
  }
  CHECK(taken < (size_t{32} << 20));
}

TEST_CASE("a node near its memory limit rejects new requests and keeps reusable connections open") {
  IngressWorld world;
  world.shedding.note(kNearLimit);
  SUBCASE("small bodies are discarded and the next request is parsed") {
    const std::string answers = world.exchange(
        IngressWorld::head("Content-Length: 2\r\n\r\nab") +
        IngressWorld::head("Transfer-Encoding: chunked\r\n\r\n" + chunk("abc") + "0\r\n\r\n") +
        IngressWorld::head("Connection: close\r\n\r\n"));
    CHECK(statusOf(answers) == "HTTP/1.1 503");
    CHECK(answers.find("Retry-After: 0.020\r\n") != std::string::npos);
    CHECK(answers.find("\"kind\":\"overloaded\"") != std::string::npos);
    CHECK(answers.find("\"run\":\"not_run\"") != std::string::npos);
    size_t refusals = 0;
    for (size_t at = 0; (at = answers.find("HTTP/1.1 503", at)) != std::string::npos; ++at) {
      ++refusals;
    }
    CHECK(refusals == 3);
    CHECK(answers.find("Connection: close") > answers.rfind("HTTP/1.1 503"));
  }
  SUBCASE("a long body is rejected before it is read, and its connection is closed") {
    const std::string answer =
        world.exchange(IngressWorld::head("Content-Length: 4000000\r\n\r\n"));
    CHECK(statusOf(answer) == "HTTP/1.1 503");
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
  }
  SUBCASE("a caller that waits for 100 Continue sends no body") {
    const std::string answer =
        world.exchange(IngressWorld::head("Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"));
    CHECK(statusOf(answer) == "HTTP/1.1 503");
    CHECK(answer.find("100 Continue") == std::string::npos);
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
  }
  CHECK(world.engine.requests() == 0);
  world.shedding.note(kFarFromLimit);
  CHECK(statusOf(world.exchange(IngressWorld::head("Connection: close\r\n\r\n"))) ==
        "HTTP/1.1 200");
  CHECK(world.engine.requests() == 1);
}

TEST_CASE("an ingress that closes answers the connections in its backlog with a 503") {
  IngressWorld world(Duration(0), IngressWorld::Start::kLater);
  world.work.stop(world.clock.now() - std::chrono::seconds(4));
  std::vector<Poco::Net::StreamSocket> callers;
  for (int number = 0; number < 5; ++number) {
    callers.push_back(world.connect());
    say(callers.back(), IngressWorld::head("Content-Length: 2\r\n\r\nab"));
  }
  world.ingress.start();
  CHECK(world.ingress.close(world.clock.now() + std::chrono::seconds(5)));
  for (Poco::Net::StreamSocket& caller : callers) {
    const std::string answer = IngressWorld::readAll(caller);
    CHECK(statusOf(answer) == "HTTP/1.1 503");
    CHECK(answer.find("\"kind\":\"draining\"") != std::string::npos);
    CHECK(answer.find("\"run\":\"not_run\"") != std::string::npos);
  }
  CHECK_THROWS_AS(world.connect(), Poco::Net::ConnectionRefusedException);
}

TEST_CASE("an ingress that closes waits for first requests and ends idle connections") {
  IngressWorld world;
  Poco::Net::StreamSocket idle = world.connect();
  say(idle, IngressWorld::head("\r\n"));
  char buffer[4096];
  CHECK(idle.receiveBytes(buffer, sizeof(buffer)) > 0);
  Poco::Net::StreamSocket silent = world.connect();
  Poco::Net::StreamSocket late = world.connect();
  world.work.stop(world.clock.now() - std::chrono::seconds(4));
  bool hasClosed = false;
  std::thread closing(
      [&] { hasClosed = world.ingress.close(world.clock.now() + std::chrono::seconds(5)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  say(late, IngressWorld::head("\r\n"));
  CHECK(statusOf(IngressWorld::readAll(late)) == "HTTP/1.1 503");
  closing.join();
  CHECK(hasClosed);
  CHECK(IngressWorld::readAll(idle).empty());
  CHECK(IngressWorld::readAll(silent).empty());
}

}  // namespace fernmoor::platform
