/// @file
/// Tests of platform/read_gate.h over loopback: which connections an overloaded node closes.
#include "platform/read_gate.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>

#include <string>
#include <thread>

#include "platform/caller_connections.h"

namespace fernmoor::platform {

namespace {

using std::chrono::milliseconds;

const std::string kRequest = "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n";
const std::string kHandedOn =
    "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nFernmoor-Handed-On: 0\r\n\r\n";
constexpr Duration kIdleTimeout{100000};

class GateWorld {
 public:
  GateWorld() : server_(Poco::Net::SocketAddress("127.0.0.1", 0)) {}
  void overload() {
    Time now = clock.now() - std::chrono::seconds(2);
    for (int request = 0; request < 200; ++request, now += milliseconds(10)) {
      limit.note(std::chrono::seconds(1), now);
    }
    REQUIRE(limit.isLimiting());
  }
  /// Opens a connection, and lets a request wait in it unread.
  void connect(const std::string& request) {
    caller = Poco::Net::StreamSocket(server_.address());
    accepted = server_.acceptConnection();
    if (!request.empty()) {
      caller.sendBytes(request.data(), static_cast<int>(request.size()));
    }
    std::this_thread::sleep_for(milliseconds(120));
  }
  /// @return whether the caller finds its connection reset.
  bool isReset() {
    try {
      char byte = 0;
      caller.setReceiveTimeout(Poco::Timespan(0, 200000));
      caller.receiveBytes(&byte, 1);
      return false;
    } catch (const Poco::TimeoutException&) {
      return false;
    } catch (const Poco::Exception&) {
      return true;
    }
  }
  double closedUnread() const {
    const std::string text = metrics.serialize();
    const std::string name = "\nfernmoor_closed_unread_total ";
    return std::stod(text.substr(text.find(name) + name.size()));
  }
  /// Waits as the ingress does. @return whether the request may be read.
  bool awaitRequest(ByteConnection& connection, bool isFirst) {
    const Time idleSince = clock.now();
    return connections.awaitRequest(accepted.impl()->sockfd(), kIdleTimeout, !isFirst) &&
           gate.mayRead(connection, isFirst, idleSince);
  }

  SystemClock clock;
  CallerConnections connections;
  gateway::ReadLimit limit;
  gateway::WorkState work{gateway::StopTimes{}};
  gateway::WorkState::Guard inProgress{work};
  Metrics metrics;
  ReadGate gate{clock, limit, work, metrics};
  Poco::Net::StreamSocket caller;
  Poco::Net::StreamSocket accepted;

 private:
  Poco::Net::ServerSocket server_;
};

}  // namespace

TEST_CASE("an overloaded node resets a connection whose request waited too long") {
  GateWorld world;
  world.overload();
  world.connect(kRequest);
  SUBCASE("when it is accepted") {
    REQUIRE(world.gate.closesAccepted(world.accepted));
    world.accepted = Poco::Net::StreamSocket();
  }
  SUBCASE("when its request is to be read") {
    ByteConnection connection(world.accepted);
    REQUIRE_FALSE(world.awaitRequest(connection, true));
  }
  CHECK(world.isReset());
  CHECK(world.closedUnread() == 1);
}

TEST_CASE("a node that is not overloaded reads a request that waited long") {
  GateWorld world;
  world.connect(kRequest);
  CHECK_FALSE(world.gate.closesAccepted(world.accepted));
  ByteConnection connection(world.accepted);
  CHECK(world.awaitRequest(connection, true));
  CHECK(world.closedUnread() == 0);
}

TEST_CASE("an overloaded node reads what another node handed on") {
  GateWorld world;
  world.overload();
  world.connect(kHandedOn);
  CHECK_FALSE(world.gate.closesAccepted(world.accepted));
  ByteConnection connection(world.accepted);
  CHECK(world.awaitRequest(connection, true));
}

TEST_CASE("an overloaded node keeps a connection that has no request yet") {
  GateWorld world;
  world.overload();
  world.connect("");
  CHECK_FALSE(world.gate.closesAccepted(world.accepted));
  ByteConnection connection(world.accepted);
  SUBCASE("one that sends a request later is read") {
    world.caller.sendBytes(kRequest.data(), static_cast<int>(kRequest.size()));
    CHECK(world.awaitRequest(connection, true));
  }
  SUBCASE("one that its caller closes is left to the reader") {
    world.caller.shutdown();
    CHECK(world.awaitRequest(connection, true));
  }
  SUBCASE("one that sends nothing ends with the idle timeout") {
    CHECK_FALSE(world.awaitRequest(connection, true));
  }
  CHECK(world.closedUnread() == 0);
}

TEST_CASE("on a kept connection the time before the former answer does not count") {
  GateWorld world;
  world.overload();
  world.connect(kRequest);
  ByteConnection connection(world.accepted);
  CHECK(world.awaitRequest(connection, false));
}

}  // namespace fernmoor::platform
