/// @file
/// Tests of src/peers/stream_directory.h: several directories whose messages are delivered
/// synchronously.
#include "peers/stream_directory.h"

#include <doctest/doctest.h>

#include "test/peers/directory_world.h"

namespace fernmoor::peers {

namespace {

using gateway::StreamBinding;

using DirectoryWorld = test::DirectoryWorld<StreamDirectory>;

constexpr std::chrono::seconds kKeep(15);
constexpr int kStreams = 200;

std::string nameOf(int number) {
  return "stream " + std::to_string(number);
}

std::string softwareOf(int number) {
  return number % 2 == 0 ? "v1" : "v2";
}

void beginStreams(DirectoryWorld& world, uint64_t node) {
  for (int number = 0; number < kStreams; ++number) {
    world.node(node).note(nameOf(number), StreamBinding{"pool", softwareOf(number)}, kKeep);
  }
}

/// @return the number of streams whose version a node finds; checks each that it finds.
int foundBy(DirectoryWorld& world, uint64_t node) {
  int found = 0;
  for (int number = 0; number < kStreams; ++number) {
    const std::optional<StreamBinding> binding = world.node(node).find(nameOf(number));
    if (binding) {
      ++found;
      CHECK(binding->pool == "pool");
      CHECK(binding->software == softwareOf(number));
    }
  }
  return found;
}

}  // namespace

TEST_CASE("every node finds the version of a stream that one node began") {
  DirectoryWorld world(7);
  beginStreams(world, 1);
  for (uint64_t id = 1; id <= 7; ++id) {
    CHECK(foundBy(world, id) == kStreams);
  }
  CHECK_FALSE(world.node(2).find("nobody began it").has_value());
}

TEST_CASE("a stream is known after its node and one of its owners died") {
  DirectoryWorld world(7);
  beginStreams(world, 1);
  world.restart(1);
  world.restart(4);
  SUBCASE("and came back without records") {}
  SUBCASE("and are suspected") {
    world.setState(1, MemberState::kSuspect);
    world.setState(4, MemberState::kSuspect);
  }
  SUBCASE("and do not answer") {
    world.silent = {NodeId(1), NodeId(4)};
  }
  CHECK(foundBy(world, 3) == kStreams);
}

TEST_CASE("most streams are known after more than half of all nodes died at once") {
  DirectoryWorld world(20);
  beginStreams(world, 1);
  for (uint64_t id = 1; id <= 12; ++id) {
    world.restart(id);
  }
  CHECK(foundBy(world, 15) > kStreams / 2);
}

TEST_CASE("a stream taken up again is known to owners that joined since it began") {
  DirectoryWorld world(7);
  beginStreams(world, 1);
  for (const uint64_t id : {1, 2, 3}) {
    world.restart(id);
  }
  for (int number = 0; number < kStreams; ++number) {
    if (world.node(5).find(nameOf(number))) {
      world.node(5).note(nameOf(number), StreamBinding{"pool", softwareOf(number)}, kKeep);
    }
  }
  const int known = foundBy(world, 5);
  for (const uint64_t id : {4, 6, 7}) {
    world.restart(id);
  }
  // One set of three owners in 35 is just these three nodes.
  CHECK(foundBy(world, 5) >= known * 9 / 10);
}

TEST_CASE("nodes that are stopped one after the other hand their records over") {
  DirectoryWorld world(7);
  beginStreams(world, 1);
  for (uint64_t id = 1; id <= 7; ++id) {
    world.setState(id, MemberState::kDraining);
    for (uint64_t each = 1; each <= 7; ++each) {
      world.node(each).onTick(world.clock.now(), world.sender(NodeId(each)));
    }
    world.setState(id, MemberState::kDead);
    world.restart(id);
    world.setState(id, MemberState::kAlive);
  }
  CHECK(foundBy(world, 4) == kStreams);
}

TEST_CASE("nodes that are partitioned off know no records of the others") {
  DirectoryWorld world(7);
  world.cut({1, 2});
  world.node(3).note("r", StreamBinding{"pool", "v1"}, kKeep);
  const bool isOwnRecord = world.node(1).size() + world.node(2).size() > 0;
  CHECK_FALSE(isOwnRecord);
  CHECK_FALSE(world.node(1).find("r").has_value());
  world.cut({});
  CHECK(world.node(1).find("r").has_value());
}

TEST_CASE("a record is forgotten when its time is over") {
  DirectoryWorld world(7);
  beginStreams(world, 1);
  world.clock.advanceTo(world.clock.now() + kKeep);
  CHECK(foundBy(world, 2) == 0);
  size_t kept = 0;
  for (uint64_t id = 1; id <= 7; ++id) {
    world.node(id).onTick(world.clock.now(), world.sender(NodeId(id)));
    kept += world.node(id).size();
  }
  CHECK(kept == 0);
}

TEST_CASE("a stream costs a few messages whatever the number of nodes, and records are bounded") {
  for (const uint64_t count : {uint64_t{7}, uint64_t{380}}) {
    DirectoryWorld world(count);
    beginStreams(world, 1);
    CHECK(world.messages <= kStreams * 3);
    CHECK(world.messageBytes <= static_cast<size_t>(kStreams) * 3 * 40);
    world.messages = 0;
    CHECK(foundBy(world, 2) == kStreams);
    CHECK(world.messages <= kStreams * 10);
  }
  DirectoryWorld alone(1);
  for (int number = 0; number < 40000; ++number) {
    alone.node(1).note(nameOf(number), StreamBinding{"pool", "v1"}, kKeep);
  }
  CHECK(alone.node(1).size() <= 16384);
}

}  // namespace fernmoor::peers
