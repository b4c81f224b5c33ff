/// @file
/// Tests of src/peers/part_directory.h: several directories whose messages are delivered
/// synchronously.
#include "peers/part_directory.h"

#include <doctest/doctest.h>

#include "test/peers/directory_world.h"

namespace fernmoor::peers {

namespace {

using gateway::PartHint;
using gateway::PartKey;

using DirectoryWorld = test::DirectoryWorld<PartDirectory>;

/// Run time after which a node is expected to have all hints that it owns.
constexpr std::chrono::seconds kLongRun(30);

}  // namespace

TEST_CASE("every node finds the hint that one node recorded") {
  DirectoryWorld world(7);
  for (PartKey part = 100; part < 150; ++part) {
    world.node(1).note({part}, part * 2, part % 2 == 0);
  }
  for (uint64_t id = 1; id <= 7; ++id) {
    for (PartKey part = 100; part < 150; ++part) {
      const std::vector<PartHint> hints = world.node(id).find({part, part + 1000});
      CHECK(hints[0].engine == part * 2);
      CHECK(hints[0].isStored == (part % 2 == 0));
      CHECK(hints[1].engine == 0);
    }
  }
}

TEST_CASE("a request costs a few messages whatever the number of nodes") {
  for (const uint64_t count : {uint64_t{7}, uint64_t{300}}) {
    DirectoryWorld world(count);
    world.clock.advanceTo(world.clock.now() + kLongRun);
    for (PartKey part = 0; part < 100; ++part) {
      world.node(1).find({part, part + 1000});
      world.node(1).note({part, part + 1000}, 5, false);
    }
    CHECK(world.messages <=
          100 * 8);  // Two questions with answers, and two parts reported to two owners each.
  }
}

TEST_CASE("of a prompt with very many parts, no more are reported than are ever looked up") {
  std::vector<PartKey> parts;
  for (PartKey part = 0; part < 4096; ++part) {
    parts.push_back(part << 32U | part);
  }
  DirectoryWorld world(7);
  world.clock.advanceTo(world.clock.now() + kLongRun);
  world.node(1).note(parts, 5, false);
  CHECK(world.messageBytes < 4096);
  const std::vector<PartHint> hints = world.node(1).find(parts);
  CHECK(hints[63].engine == 5);
  CHECK(world.messageBytes < 8192);
}

TEST_CASE("parts stay known even if one of their owners") {
  DirectoryWorld world(7);
  for (PartKey part = 100; part < 150; ++part) {
    world.node(1).note({part}, part * 2, true);
  }
  SUBCASE("does not answer") {
    world.silent.insert(NodeId(3));
  }
  SUBCASE("was restarted recently") {
    world.restart(3);
  }
  for (PartKey part = 100; part < 150; ++part) {
    CHECK(world.node(1).find({part})[0].engine == part * 2);
  }
}

TEST_CASE("an owner that has run for long is trusted when it has no hint") {
  DirectoryWorld world(7);
  world.clock.advanceTo(world.clock.now() + kLongRun);
  world.node(1).find({100});
  CHECK(world.messages <= 2);
}

TEST_CASE("owners that do not answer cost their hints, not the request") {
  DirectoryWorld world(2);
  world.silent.insert(NodeId(2));
  for (PartKey part = 0; part < 20; ++part) {
    CHECK(world.node(1).find({part}).size() == 1);
  }
}

}  // namespace fernmoor::peers
