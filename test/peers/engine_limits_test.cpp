/// @file
/// Tests of src/peers/load_directory.h: limits that engines state, enforced by several nodes whose
/// messages are delivered synchronously.
#include <doctest/doctest.h>

#include <functional>

#include "peers/load_directory.h"
#include "test/peers/directory_world.h"

namespace fernmoor::peers {

namespace {

using gateway::LimitStatement;
using gateway::LoadAnswer;

constexpr uint64_t kEngine = 1000;
constexpr gateway::EngineRoom kRoom;
constexpr Duration kStep{10000};
constexpr Duration kTick{100000};

gateway::EngineDemand permitOnly(Duration longestWait = Duration(0)) {
  gateway::EngineDemand demand;
  demand.isCounted = false;
  demand.longestPermitWait = longestWait;
  return demand;
}

class LimitWorld : public test::DirectoryWorld<LoadDirectory> {
 public:
  using DirectoryWorld::DirectoryWorld;

  /// Delivers a limit to a node in an answer of the engine that took 10 ms.
  void stateLimit(uint64_t id, std::optional<double> rate) {
    gateway::EngineStatement statement;
    statement.engine = kEngine;
    statement.limit = LimitStatement{rate, clock.now() - kStep, clock.now()};
    node(id).noteStatement(statement);
  }
  void pass(Duration time) {
    const Time end = clock.now() + time;
    while (clock.now() < end) {
      clock.advanceTo(clock.now() + kStep);
      if ((clock.now() - sim::VirtualClock::kStart) % kTick == Duration(0)) {
        for (uint64_t id = 1; id <= size(); ++id) {
          node(id).onTick(clock.now(), sender(NodeId(id)));
        }
      }
    }
  }
  bool isPermitted(uint64_t id) {
    const auto answer = node(id).reserve(kEngine, permitOnly(), kRoom, 1);
    return answer && answer->isGranted;
  }
  /// All nodes ask repeatedly. @return number of permitted requests.
  int permitted(Duration time) {
    return passing(time, [this](uint64_t id) { return isPermitted(id); });
  }
  /// All nodes try repeatedly. @return number of successful tries.
  int passing(Duration time, const std::function<bool(uint64_t)>& tries) {
    int count = 0;
    for (Duration passed{0}; passed < time; passed += kStep) {
      for (uint64_t id = 1; id <= size(); ++id) {
        count += tries(id) ? 1 : 0;
      }
      pass(kStep);
    }
    return count;
  }
  size_t nodesThatKnow() {
    size_t sum = 0;
    for (uint64_t id = 1; id <= size(); ++id) {
      sum += node(id).limitedCount();
    }
    return sum;
  }
  /// @return the owner of the engine, recognized by not sending a message when it reports a load.
  uint64_t owner() {
    for (uint64_t id = 1; id <= size(); ++id) {
      const int before = messages;
      node(id).promptRead(gateway::LoadTicket{kEngine, 0, false, false});
      if (messages == before) {
        return id;
      }
    }
    return 0;
  }
};

}  // namespace

TEST_CASE("a limit stated to one node is enforced by all nodes together") {
  for (const uint64_t count : {uint64_t{1}, uint64_t{7}, uint64_t{69}}) {
    LimitWorld world(count);
    CHECK(world.isPermitted(1));
    world.stateLimit(1, 1.4);
    CHECK(world.nodesThatKnow() == count);
    const int permitted = world.permitted(std::chrono::seconds(20));
    CHECK(permitted >= 26);
    CHECK(permitted <= 29);
  }
}

TEST_CASE("an answer without a limit ends the limit at all nodes") {
  LimitWorld world(7);
  world.stateLimit(1, 1.4);
  world.pass(std::chrono::seconds(1));
  world.stateLimit(3, std::nullopt);
  CHECK(world.nodesThatKnow() == 0);
  CHECK(world.permitted(std::chrono::seconds(1)) == 700);
  SUBCASE("engines without limits cost no messages besides the questions") {
    world.pass(std::chrono::seconds(20));
    const int before = world.messages;
    world.pass(std::chrono::seconds(20));
    CHECK(world.messages == before);
  }
}

TEST_CASE("a new owner learns the limit from the questions and does not exceed it") {
  LimitWorld world(7);
  world.stateLimit(1, 1.4);
  int permitted = world.permitted(std::chrono::seconds(4));
  for (int round = 0; round < 5; ++round) {
    const uint64_t owner = world.owner();
    SUBCASE("the owner restarts") {
      world.restart(owner);
    }
    SUBCASE("the owner is suspected and comes back") {
      world.setState(owner, MemberState::kSuspect);
      permitted += world.permitted(std::chrono::seconds(2));
      world.setState(owner, MemberState::kAlive);
    }
    permitted += world.permitted(std::chrono::seconds(4));
  }
  CHECK(permitted >= 20);
  // A suspected node keeps acting as the owner until it learns that it is suspected.
  CHECK(permitted <= 1.4 * (24 + 2 * 5 * 2) + 8);
}

TEST_CASE("both sides of a partition together stay within the limit") {
  LimitWorld world(6);
  world.stateLimit(1, 10);
  world.cut({1, 2});
  for (const uint64_t unreachable : {1, 2}) {
    world.setState(unreachable, MemberState::kSuspect);
  }
  for (uint64_t id = 1; id <= 6; ++id) {
    world.node(id).setReachableShare(id <= 2 ? 2.0 / 6 : 4.0 / 6);
  }
  const int permitted = world.permitted(std::chrono::seconds(10));
  CHECK(permitted <= 10 * 10 + 10);
}

TEST_CASE(
    "if the owner of an engine does not answer, at most half as many requests are sent without a "
    "permit") {
  LimitWorld world(5);
  world.stateLimit(1, 10);
  world.silent.insert(NodeId(world.owner()));
  const int passed = world.passing(
      std::chrono::seconds(4), [&](uint64_t id) { return world.node(id).mayGoUnasked(kEngine); });
  CHECK(passed >= 10);
  CHECK(passed <= 20);
}

TEST_CASE("a restarted node receives a limit without asking") {
  LimitWorld world(7);
  world.stateLimit(1, 1.4);
  world.pass(std::chrono::seconds(1));
  const uint64_t other = world.owner() == 7 ? 6 : 7;
  world.restart(other);
  CHECK(world.node(other).limitedCount() == 0);
  world.pass(std::chrono::seconds(11));
  CHECK(world.node(other).limitedCount() == 1);
}

TEST_CASE("an unused permit is granted to another request") {
  LimitWorld world(2);
  world.stateLimit(1, 0.5);
  world.pass(std::chrono::seconds(3));
  const uint64_t asker = world.owner() == 1 ? 2 : 1;
  const LoadAnswer answer = *world.node(asker).reserve(kEngine, permitOnly(), kRoom, 1);
  REQUIRE(answer.ticket.hasPermit);
  CHECK(world.node(asker).reserve(kEngine, permitOnly(), kRoom, 1)->lacksPermit);
  world.node(asker).giveBack(answer.ticket);
  CHECK(world.node(asker).reserve(kEngine, permitOnly(), kRoom, 1)->isGranted);
}

TEST_CASE("a request that is rejected for load does not use up a permit") {
  LimitWorld world(2);
  world.stateLimit(1, 0.5);
  world.pass(std::chrono::seconds(3));
  gateway::EngineDemand demand;
  demand.promptTokens = 9000;
  CHECK_FALSE(world.node(1).reserve(kEngine, demand, kRoom, 0)->isGranted);
  const LoadAnswer answer = *world.node(2).reserve(kEngine, demand, kRoom, 1);
  CHECK(answer.isGranted);
  CHECK(answer.ticket.hasPermit);
}

TEST_CASE("limits that change all the time are broadcast at most ten times a second") {
  LimitWorld world(7);
  world.stateLimit(1, 1.4);
  world.pass(std::chrono::seconds(1));
  const int before = world.messages;
  for (int change = 0; change < 100; ++change) {
    world.stateLimit(1, 1.0 + change % 2);
    world.pass(kStep);
  }
  CHECK(world.messages - before <= 100 + 10 * 2 * 7);
}

}  // namespace fernmoor::peers
