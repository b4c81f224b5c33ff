/// @file
/// Tests of src/sim/simulated_network.h.
#include "sim/simulated_network.h"

#include <doctest/doctest.h>

namespace fernmoor::sim {
namespace {

const NodeId kFirst(1);
const NodeId kSecond(2);

struct Pair {
  explicit Pair(NetworkSettings settings = {}) : queue(clock), network(queue, settings, 1) {
    network.addNode({kFirst, ZoneId("a"), RegionId("r")}, [](NodeLife, const proto::Envelope&) {});
    network.addNode({kSecond, ZoneId("b"), RegionId("r")},
                    [this](NodeLife from, const proto::Envelope&) {
                      ++received;
                      lastSender = from;
                      lastArrival = clock.now();
                    });
    network.setLife({kFirst, Incarnation(7)});
  }
  void send() {
    proto::Envelope envelope;
    envelope.mutable_membership();
    network.senderOf(kFirst).send(kSecond, envelope);
  }

  VirtualClock clock;
  EventQueue queue;
  SimulatedNetwork network;
  int received = 0;
  NodeLife lastSender;
  Time lastArrival;
};

}  // namespace

TEST_CASE("a message arrives after the zones' latency with its sender's life, and is counted") {
  Pair pair;
  const Time start = pair.clock.now();
  pair.send();
  pair.queue.runFor(std::chrono::seconds(1));
  CHECK(pair.received == 1);
  CHECK(pair.lastSender == NodeLife{kFirst, Incarnation(7)});
  CHECK(pair.lastArrival - start >= pair.network.settings().betweenZones.low);
  CHECK(pair.lastArrival - start <= pair.network.settings().betweenZones.high);
  const NodeTraffic& sent = pair.network.trafficOf(kFirst);
  CHECK(sent.sent.messages == 1);
  CHECK(sent.sent.bytes > SimulatedNetwork::kOverheadBytes);
  CHECK(sent.sentByCase.at(proto::Envelope::kMembership).messages == 1);
  CHECK(pair.network.trafficOf(kSecond).received.bytes == sent.sent.bytes);
}

TEST_CASE("a one-way cut stops that way only, and healing mends it") {
  Pair pair;
  SUBCASE("between zones") {
    pair.network.cutZones(ZoneId("a"), ZoneId("b"));
    pair.send();
    pair.queue.runFor(std::chrono::seconds(1));
    CHECK(pair.received == 0);
    pair.network.healZones(ZoneId("a"), ZoneId("b"));
  }
  SUBCASE("between nodes") {
    pair.network.cutNodes(kFirst, kSecond);
    pair.send();
    pair.queue.runFor(std::chrono::seconds(1));
    CHECK(pair.received == 0);
    pair.network.healNodes(kFirst, kSecond);
  }
  SUBCASE("of the other direction") {
    pair.network.cutZones(ZoneId("b"), ZoneId("a"));
  }
  pair.send();
  pair.queue.runFor(std::chrono::seconds(1));
  CHECK(pair.received == 1);
}

TEST_CASE("a frozen node gets its messages on thawing, a node that was down does not") {
  Pair pair;
  pair.network.setFrozen(kSecond, true);
  pair.send();
  pair.queue.runFor(std::chrono::seconds(1));
  CHECK(pair.received == 0);
  pair.network.setFrozen(kSecond, false);
  pair.queue.runFor(Duration::zero());
  CHECK(pair.received == 1);

  pair.network.setDown(kSecond, true);
  pair.send();
  pair.queue.runFor(std::chrono::seconds(1));
  pair.network.setDown(kSecond, false);
  pair.queue.runFor(std::chrono::seconds(1));
  CHECK(pair.received == 1);
}

TEST_CASE("loss and duplication come at their rates") {
  NetworkSettings settings;
  settings.lossRate = 0.2;
  settings.duplicateRate = 0.1;
  Pair pair(settings);
  constexpr int kMessages = 2000;
  for (int index = 0; index < kMessages; ++index) {
    pair.send();
  }
  pair.queue.runFor(std::chrono::seconds(1));
  CHECK(pair.received > kMessages * 0.8 * 1.05);
  CHECK(pair.received < kMessages * 0.8 * 1.15);
}

}  // namespace fernmoor::sim
