/// @file
/// Tests of src/wire/peer_transport.h over loopback; they wait for messages, never for time.
#include "wire/peer_transport.h"

#include <doctest/doctest.h>

#include <future>

namespace fernmoor {

namespace {

// Outside the ports that the system gives to outgoing connections, on an address that none of them
// uses: a connection of any other test could hold the port otherwise.
const char* const kHost = "127.0.0.77";
constexpr uint16_t kFirstPort = 21311;
constexpr uint16_t kSecondPort = 21312;

std::optional<SocketAddress> lookup(NodeId node) {
  if (node == NodeId(1)) {
    return SocketAddress{kHost, kFirstPort};
  }
  if (node == NodeId(2)) {
    return SocketAddress{kHost, kSecondPort};
  }
  return std::nullopt;
}

proto::Envelope envelopeOfSize(size_t size) {
  proto::Envelope envelope;
  // An unknown field carries the padding, whatever the roles' messages are.
  envelope.mutable_membership()
      ->GetReflection()
      ->MutableUnknownFields(envelope.mutable_membership())
      ->AddLengthDelimited(1000, std::string(size, 'x'));
  return envelope;
}

/// Two nodes of which the second hands its first message to a promise.
struct Pair {
  Knobs knobs;
  PeerTransport first{*lookup(NodeId(1)), NodeLife{NodeId(1), Incarnation(3)}, "key", knobs,
                      lookup};
  PeerTransport second{*lookup(NodeId(2)), NodeLife{NodeId(2), Incarnation(4)}, "key", knobs,
                       lookup};
  std::promise<NodeLife> received;

  Pair() {
    first.start([](NodeLife, const proto::Envelope&) {});
    second.start([this](NodeLife from, const proto::Envelope&) { received.set_value(from); });
  }
};

}  // namespace

TEST_CASE("small messages arrive as datagrams with their sender's life") {
  Pair pair;
  pair.first.send(NodeId(2), envelopeOfSize(10));
  CHECK(pair.received.get_future().get() == NodeLife{NodeId(1), Incarnation(3)});
}

TEST_CASE("messages beyond a datagram arrive over TCP") {
  Pair pair;
  pair.first.send(NodeId(2), envelopeOfSize(200000));
  CHECK(pair.received.get_future().get() == NodeLife{NodeId(1), Incarnation(3)});
}

TEST_CASE("a message to an unknown node is counted as dropped") {
  Pair pair;
  pair.first.send(NodeId(9), envelopeOfSize(10));
  CHECK(pair.first.counters().dropped == 1);
}

}  // namespace fernmoor
