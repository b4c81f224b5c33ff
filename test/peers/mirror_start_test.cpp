/// @file
/// Tests of the duties that src/peers/mirror_role.h gives nodes shortly after their start.
#include <doctest/doctest.h>

#include "peers/mirror_role.h"
#include "test/peers/relay_world.h"

namespace fernmoor::peers {

using test::RelayWorld;

TEST_CASE("nodes that start together") {
  constexpr std::chrono::milliseconds kShortlyAfterStart(200);
  constexpr std::chrono::milliseconds kSettled(1100);
  constexpr std::chrono::milliseconds kLate(3100);
  RelayWorld world(300, Time{std::chrono::seconds(100)});

  SUBCASE("have the start duty until the readers are determined") {
    world.now += kShortlyAfterStart;
    CHECK(world.countWithDuty(ReadDuty::kStart) == 300);
    world.now += kSettled;
    CHECK(world.countWithDuty(ReadDuty::kReader) == 3);
    CHECK(world.countWithDuty(ReadDuty::kStart) == 297);
  }
  SUBCASE("are served by the readers") {
    world.now += kSettled;
    world.run(std::chrono::seconds(2), [&] { world.readersRead(5, "five"); });
    CHECK(world.countWithDuty(ReadDuty::kReader) == 3);
    CHECK(world.countWithDuty(ReadDuty::kNone) == 297);
  }
  SUBCASE("read the store themselves if no node serves them") {
    world.now += kLate;
    CHECK(world.countWithDuty(ReadDuty::kFallback) == 297);
  }
}

TEST_CASE("a node without peers reads the store, but waits first for seeds that may be busy") {
  RelayWorld world(1, Time{std::chrono::seconds(100)});
  CHECK(world.node(1).role.duty(world.now) == ReadDuty::kStart);
  world.now += std::chrono::milliseconds(2900);
  CHECK(world.node(1).role.duty(world.now) == ReadDuty::kStart);
  world.now += std::chrono::milliseconds(200);
  CHECK(world.node(1).role.duty(world.now) == ReadDuty::kReader);
}

TEST_CASE("a node takes no duty while its view of the members grows quickly") {
  const Time start{std::chrono::hours(1)};
  RelayWorld world(400, start);
  const uint64_t self = world.readers().front().value();
  RelayWorld::Node& node = world.node(self);
  world.now = start;
  const auto knowFor = [&](uint64_t others, Duration time) {
    world.knowOnly(self, others);
    for (const Time end = world.now + time; world.now < end;) {
      node.role.onTick(world.now, node.sender);
      world.now += std::chrono::milliseconds(100);
    }
    return node.role.duty(world.now);
  };
  SUBCASE("as where hundreds start at once") {
    CHECK(knowFor(0, std::chrono::milliseconds(1900)) == ReadDuty::kStart);
    CHECK(knowFor(20, std::chrono::milliseconds(900)) == ReadDuty::kStart);
    CHECK(knowFor(90, std::chrono::milliseconds(900)) == ReadDuty::kStart);
    CHECK(knowFor(300, std::chrono::milliseconds(900)) == ReadDuty::kStart);
    CHECK(knowFor(310, std::chrono::milliseconds(200)) == ReadDuty::kReader);
    SUBCASE("and keeps it when a partition heals later") {
      CHECK(knowFor(40, std::chrono::milliseconds(100)) == ReadDuty::kReader);
      CHECK(knowFor(399, std::chrono::milliseconds(100)) == ReadDuty::kReader);
    }
  }
  SUBCASE("nor for longer than a second if it knows all at once") {
    CHECK(knowFor(399, std::chrono::milliseconds(900)) == ReadDuty::kStart);
    CHECK(knowFor(399, std::chrono::milliseconds(200)) == ReadDuty::kReader);
  }
  SUBCASE("nor while it may only wait for a busy seed") {
    CHECK(knowFor(0, std::chrono::milliseconds(2900)) == ReadDuty::kStart);
    CHECK(knowFor(0, std::chrono::milliseconds(200)) == ReadDuty::kReader);
  }
}

}  // namespace fernmoor::peers
