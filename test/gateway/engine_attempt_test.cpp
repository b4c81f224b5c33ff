/// @file
/// Tests of src/gateway/engine_attempt.h: time limits are evaluated at the send, not when it was
/// planned, and a send may take as long as it makes progress.
#include "gateway/engine_attempt.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

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
        opened == AttemptStep::kDone ? attempt.send(caller, SendLimits{made.deadline}) : opened;
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

namespace {

constexpr int kSystemBufferBytes = 16384;
constexpr size_t kLongBodyBytes = 16U << 20U;
constexpr Duration kMostStall{500000};

/// Sends until the connection has taken nothing for a while, as bytes on their way make room later.
void fillUntilFull(int socket) {
  constexpr int kRefusalsInARow = 30;
  for (int refusals = 0; refusals < kRefusalsInARow; ++refusals) {
    while (::send(socket, "f", 1, MSG_DONTWAIT) > 0) {
      refusals = 0;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

/// An engine that reads requests only when the test does.
struct UnreadWorld : PlannedWorld {
  UnreadWorld() : listener(Poco::Net::SocketAddress("127.0.0.1", 0)) {
    plan.backend.address = SocketAddress{"127.0.0.1", listener.address().port()};
    made.body = std::string(kLongBodyBytes, 'b');
  }
  AttemptStep sendTo(bool mayStallOnceBegun) {
    EngineAttempt attempt(made, plan, protocol, connections, clock);
    REQUIRE(attempt.open(made.deadline) == AttemptStep::kDone);
    return attempt.send(caller, SendLimits{made.deadline, kMostStall, mayStallOnceBegun});
  }

  Poco::Net::ServerSocket listener;
};

}  // namespace

TEST_CASE("a send that makes no progress ends, and its outcome is unknown if a part was sent") {
  // Guards against a caller that waits for an engine that never reads its request.
  UnreadWorld world;
  const Time start = world.clock.now();
  CHECK(world.sendTo(false) == AttemptStep::kSilent);
  CHECK(world.clock.now() - start < std::chrono::seconds(5));
}

TEST_CASE("a request of which the engine takes nothing was not sent") {
  // Guards against requests that may run once and are given up although no byte was accepted.
  UnreadWorld world;
  world.listener.setReceiveBufferSize(kSystemBufferBytes);
  ConnectOptions options;
  options.silenceTimeout = std::chrono::seconds(60);  // Filling may take long on a busy machine.
  auto connection = connectTo(world.plan.backend.address, options);
  REQUIRE(connection != nullptr);
  connection->socket().setSendBufferSize(kSystemBufferBytes);
  fillUntilFull(connection->socket().impl()->sockfd());
  world.connections.giveBack(incarnationHash(world.plan.backend), std::move(connection),
                             std::chrono::seconds(60), world.clock.now());
  CHECK(world.sendTo(true) == AttemptStep::kNotSent);
}

TEST_CASE("a send that takes longer than the limit but makes progress goes on") {
  // Guards against engines on slow links that are left in the middle of long bodies.
  UnreadWorld world;
  const Time start = world.clock.now();
  // Otherwise the system may buffer the whole body at once, and nothing is slow.
  world.listener.setReceiveBufferSize(kSystemBufferBytes);
  std::thread reader([&] {
    Poco::Net::StreamSocket engine = world.listener.acceptConnection();
    std::vector<char> bytes(1U << 20U);
    size_t got = 0;
    int count = 1;
    while (got < kLongBodyBytes && count > 0) {
      count = engine.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
      got += static_cast<size_t>(std::max(0, count));
      const bool isSlow = world.clock.now() - start < 2 * kMostStall;
      std::this_thread::sleep_for(std::chrono::milliseconds(isSlow ? 60 : 0));
    }
  });
  CHECK(world.sendTo(false) == AttemptStep::kDone);
  CHECK(world.clock.now() - start > kMostStall);
  reader.join();
}

}  // namespace fernmoor::gateway
