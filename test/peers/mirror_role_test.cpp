/// @file
/// Tests of src/peers/mirror_role.h on the simulated network: readers distribute the state of the
/// store, the time of the last confirmed read is never later than the read itself, and nodes that
/// no reader serves read the store themselves.
#include "peers/mirror_role.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "test/peers/relay_world.h"

namespace fernmoor::peers {

using test::RelayWorld;

TEST_CASE(
    "at most three nodes read the store, and the number of relays grows with the deployment") {
  CHECK(RelayWorld(1).readers().size() == 1);
  CHECK(RelayWorld(7).readers().size() == 2);
  CHECK(RelayWorld(96).readers().size() == 3);
  CHECK(RelayWorld(300).readers().size() == 3);
  CHECK(RelayWorld(96).relays().size() == 3 + 5);
  std::set<bool> zones;
  for (const NodeId reader : RelayWorld(18).readers()) {
    zones.insert(reader.value() % 3 == 0);
  }
  CHECK(zones.size() == 2);
  const RelayWorld large(300);
  const std::vector<NodeId> relays = large.relays();
  std::set<ZoneId> zonesOfReaders;
  for (const NodeId reader : large.readers()) {
    zonesOfReaders.insert(large.zoneOf(reader));
    CHECK(std::count(relays.begin(), relays.end(), reader) == 1);
  }
  CHECK(zonesOfReaders.size() == 2);
}

TEST_CASE("a node that a reader serves has the current state and does not read the store") {
  RelayWorld world(7);
  RelayWorld::Node& nonReader = world.findNonReader();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  CHECK(nonReader.mirror.revision(MirrorKind::kRows) == 5);
  CHECK(nonReader.role.duty(world.now) == ReadDuty::kNone);
}

TEST_CASE("changes are sent at once to nodes that asked recently") {
  RelayWorld world(7);
  RelayWorld::Node& nonReader = world.findNonReader();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  world.readersRead(6, "six");
  for (const NodeId reader : world.readers()) {
    RelayWorld::Node& node = world.node(reader.value());
    node.role.announce(MirrorKind::kRows, 5, world.now, node.sender);
  }
  world.deliver();
  CHECK(nonReader.mirror.revision(MirrorKind::kRows) == 6);
}

TEST_CASE("a change too long for a datagram is offered until it is pulled, and pulled once") {
  RelayWorld world(7);
  RelayWorld::Node& nonReader = world.findNonReader();
  std::string text;  // Varied, so that it stays long when it is compressed.
  for (int number = 0; number < 2000; ++number) {
    text += std::to_string(number * number % 9973);
  }
  world.readersRead(5, text);
  world.tickAll();
  world.deliver();
  CHECK(nonReader.mirror.revision(MirrorKind::kRows) == 5);
  const size_t pulls = world.pulls;
  CHECK(pulls == 5);  // By each node that is no reader.
  world.tickAll();
  world.now += std::chrono::milliseconds(500);
  world.tickAll();
  world.deliver();
  CHECK(world.pulls == pulls);
}

TEST_CASE("a node with a long send queue defers pulls and still sends the last confirmed read") {
  RelayWorld world(7);
  RelayWorld::Node& nonReader = world.findNonReader();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  for (const NodeId reader : world.readers()) {
    world.node(reader.value()).sender.waiting = 4U << 20U;
  }
  std::string text;
  for (int number = 0; number < 2000; ++number) {
    text += std::to_string(number * number % 9973);
  }
  for (int tick = 0; tick < 10; ++tick) {
    world.now += std::chrono::milliseconds(100);
    world.readersRead(6, text);
    world.tickAll();
    world.deliver();
  }
  CHECK(nonReader.mirror.revision(MirrorKind::kRows) == 5);
  CHECK(world.pulls <= 5 * 4);  // At most one per question, not one per offer.
  for (const NodeId reader : world.readers()) {
    world.node(reader.value()).sender.waiting = 0;
  }
  world.now += std::chrono::milliseconds(500);
  world.tickAll();
  world.deliver();
  CHECK(nonReader.mirror.revision(MirrorKind::kRows) == 6);
}

TEST_CASE("a confirmed read is dated by the question, however long the answer took") {
  RelayWorld world(7);
  RelayWorld::Node& nonReader = world.findNonReader();
  world.readersRead(5, "five");
  const Time readAt = world.now;
  world.now += std::chrono::milliseconds(500);
  const Time askedAt = world.now;
  world.tickAll();
  world.deliver(std::chrono::milliseconds(20));
  const auto confirmedAt = nonReader.mirror.confirmedAt(MirrorKind::kRows);
  REQUIRE(confirmedAt.has_value());
  CHECK(*confirmedAt <= askedAt - std::chrono::milliseconds(500));
  CHECK(*confirmedAt <= readAt);
}

TEST_CASE("an unsolicited message does not advance the last confirmed read") {
  RelayWorld world(7);
  RelayWorld::Node& nonReader = world.findNonReader();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  const auto before = nonReader.mirror.confirmedAt(MirrorKind::kRows);
  world.now += std::chrono::seconds(1);
  world.readersRead(6, "six");
  for (const NodeId reader : world.readers()) {
    RelayWorld::Node& node = world.node(reader.value());
    node.role.announce(MirrorKind::kRows, 5, world.now, node.sender);
  }
  world.deliver();
  CHECK(nonReader.mirror.confirmedAt(MirrorKind::kRows) == before);
}

TEST_CASE("a node whose readers do not answer reads the store itself") {
  RelayWorld world(7);
  RelayWorld::Node& nonReader = world.findNonReader();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  CHECK(nonReader.role.duty(world.now) == ReadDuty::kNone);
  for (const NodeId reader : world.readers()) {
    world.lost.insert(reader);
  }
  for (int tick = 0; tick < 40; ++tick) {
    world.now += std::chrono::milliseconds(50);
    world.tickAll();
    world.deliver(Duration(0));
  }
  CHECK(nonReader.role.duty(world.now) == ReadDuty::kFallback);
}

TEST_CASE("nodes are served by the second reader if the first does not respond") {
  RelayWorld world(7);
  world.readersRead(5, "five");
  world.lost.insert(world.readers().front());
  for (int tick = 0; tick < 24; ++tick) {
    world.now += std::chrono::milliseconds(50);
    world.readersRead(5, "five");
    world.tickAll();
    world.deliver(Duration(0));
  }
  size_t served = 0;
  for (uint64_t id = 1; id <= 7; ++id) {
    served += world.node(id).role.duty(world.now) == ReadDuty::kNone ? 1 : 0;
  }
  CHECK(served == 5);
}

TEST_CASE("readers that the store rejects receive the state from the fallback nodes") {
  RelayWorld world(7);
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  // From now on the store serves all but the readers.
  for (int tick = 0; tick < 80; ++tick) {
    world.now += std::chrono::milliseconds(50);
    world.fallbackNodesRead(6, "six");
    world.tickAll();
    world.deliver(Duration(0));
  }
  for (const NodeId reader : world.readers()) {
    const StateMirror& mirror = world.node(reader.value()).mirror;
    CHECK(mirror.revision(MirrorKind::kRows) == 6);
    CHECK(world.now - *mirror.confirmedAt(MirrorKind::kRows) < std::chrono::milliseconds(1500));
  }
}

TEST_CASE("a fallback node reads the store without a pause until the readers serve it again") {
  RelayWorld world(7);
  RelayWorld::Node& nonReader = world.findNonReader();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  int pauses = 0;
  bool hasBegun = false;
  for (int tick = 0; tick < 80; ++tick) {
    world.now += std::chrono::milliseconds(50);
    world.fallbackNodesRead(6, "six");
    world.tickAll();
    world.deliver(Duration(0));
    const bool reads = nonReader.role.duty(world.now) == ReadDuty::kFallback;
    pauses += hasBegun && !reads ? 1 : 0;
    hasBegun = hasBegun || reads;
  }
  CHECK(hasBegun);
  CHECK(pauses == 0);
  world.readersRead(7, "seven");
  world.now += std::chrono::milliseconds(500);
  world.tickAll();
  world.deliver();
  CHECK(nonReader.role.duty(world.now) == ReadDuty::kNone);
}

TEST_CASE("at most four nodes are standby at any deployment size, each with a distinct rank") {
  for (const uint64_t count : {1, 3, 7, 300}) {
    RelayWorld world(count);
    std::set<size_t> ranks;
    for (uint64_t id = 1; id <= count; ++id) {
      const std::optional<size_t> rank = world.node(id).role.standbyRank();
      CHECK((!rank || ranks.insert(*rank).second));
    }
    CHECK(ranks.size() == std::min<uint64_t>(count, 4));
    CHECK(*ranks.rbegin() == ranks.size() - 1);
  }
}

TEST_CASE("nodes that reach no engine are not standby, and others take their ranks") {
  RelayWorld world(7);
  std::set<uint64_t> standby;
  for (uint64_t id = 1; id <= 7; ++id) {
    if (world.node(id).role.standbyRank()) {
      standby.insert(id);
    }
  }
  REQUIRE(standby.size() == 4);
  world.setReachesNoEngine(standby);
  size_t ranks = 0;
  for (uint64_t id = 1; id <= 7; ++id) {
    const bool hasRank = world.node(id).role.standbyRank().has_value();
    CHECK(hasRank == (standby.count(id) == 0));
    ranks += hasRank ? 1 : 0;
  }
  CHECK(ranks == 3);
}

TEST_CASE("in a large deployment") {
  RelayWorld world(300);
  const auto readersRead = [&] { world.readersRead(5, "five"); };
  world.run(std::chrono::seconds(5), readersRead);

  SUBCASE(
      "only the readers read the store, and the last confirmed read stays recent at all nodes") {
    CHECK(world.countWithDuty(ReadDuty::kReader) == 3);
    CHECK(world.countWithDuty(ReadDuty::kNone) == 297);
    const std::optional<Duration> oldest = world.greatestReadAge();
    REQUIRE(oldest);
    CHECK(*oldest < std::chrono::milliseconds(1700));
  }
  SUBCASE("a change reaches all nodes at once through readers and relays") {
    world.readersRead(6, "six");
    for (const NodeId reader : world.readers()) {
      RelayWorld::Node& node = world.node(reader.value());
      node.role.announce(MirrorKind::kRows, 5, world.now, node.sender);
    }
    world.deliver(Duration(0));
    for (uint64_t id = 1; id <= 300; ++id) {
      CHECK(world.node(id).mirror.revision(MirrorKind::kRows) == 6);
    }
  }
  SUBCASE("while the store is unavailable, only relays read it during the first 2.5 s") {
    world.run(std::chrono::milliseconds(2500), [] {});
    const size_t asking = world.countWithDuty(ReadDuty::kFallback);
    CHECK(asking > 0);
    CHECK(asking + world.readers().size() <= world.relays().size());
  }
  SUBCASE("after an outage of the store the readers serve all fallback nodes again") {
    world.run(std::chrono::seconds(6), [] {});
    CHECK(world.countWithDuty(ReadDuty::kFallback) == 297);
    world.run(std::chrono::seconds(4), [&] {
      world.readersRead(6, "six");
      world.fallbackNodesRead(6, "six");
    });
    CHECK(world.countWithDuty(ReadDuty::kFallback) == 0);
  }
  SUBCASE("while the store rejects the readers, relays read for all nodes") {
    const auto relaysRead = [&] { world.fallbackNodesRead(6, "six"); };
    world.run(std::chrono::seconds(5), relaysRead);
    const std::optional<Duration> oldest = world.greatestReadAge();
    REQUIRE(oldest);
    CHECK(*oldest < std::chrono::seconds(3));
    for (uint64_t id = 1; id <= 300; ++id) {
      CHECK(world.node(id).mirror.revision(MirrorKind::kRows) == 6);
    }
    SUBCASE("and the number of reads stays bounded") {
      world.fallbackReads = 0;
      world.run(std::chrono::seconds(6), relaysRead);
      CHECK(world.countWithDuty(ReadDuty::kFallback) < world.relays().size());
      CHECK(world.fallbackReads <= 10 * world.relays().size());
      CHECK(*world.greatestReadAge() < std::chrono::seconds(3));
    }
  }
}

}  // namespace fernmoor::peers
