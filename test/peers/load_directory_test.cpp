/// @file
/// Tests of src/peers/load_directory.h: several nodes whose messages are delivered synchronously.
#include "peers/load_directory.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

#include "test/peers/directory_world.h"

namespace fernmoor::peers {

namespace {

using gateway::LoadAnswer;

constexpr uint64_t kBound = 12000;
constexpr gateway::EngineRoom kRoom;

gateway::EngineDemand demandOf(uint64_t tokens) {
  return gateway::EngineDemand{tokens, tokens, std::chrono::seconds(3)};
}

class LoadWorld : public test::DirectoryWorld<LoadDirectory> {
 public:
  using DirectoryWorld::DirectoryWorld;
  size_t totalEngineCount() {
    size_t sum = 0;
    for (uint64_t id = 1; id <= size(); ++id) {
      sum += node(id).engineCount();
    }
    return sum;
  }
  /// Lets all nodes tick for that long.
  void pass(Duration time) {
    for (Duration passed{0}; passed < time; passed += kTick) {
      clock.advanceTo(clock.now() + kTick);
      for (uint64_t id = 1; id <= size(); ++id) {
        node(id).onTick(clock.now(), sender(NodeId(id)));
      }
    }
  }
  uint64_t totalRenewedCount() {
    uint64_t sum = 0;
    for (uint64_t id = 1; id <= size(); ++id) {
      sum += node(id).renewedCount();
    }
    return sum;
  }

 private:
  static constexpr Duration kTick{100000};
};

constexpr uint64_t kEngines = 50;

/// Every node but the given one opens a request at every engine.
std::vector<std::pair<uint64_t, gateway::LoadTicket>> openEverywhere(LoadWorld& world,
                                                                     uint64_t except) {
  std::vector<std::pair<uint64_t, gateway::LoadTicket>> tickets;
  for (uint64_t engine = 1; engine <= kEngines; ++engine) {
    for (uint64_t id = 1; id <= world.size(); ++id) {
      if (id != except) {
        tickets.emplace_back(id,
                             world.node(id).reserve(engine, demandOf(100), kRoom, kBound)->ticket);
      }
    }
  }
  return tickets;
}

/// Checks the tokens that wait at every engine, as a node is told by its owner.
void checkWaiting(LoadWorld& world, uint64_t asker, uint64_t tokens) {
  for (uint64_t engine = 1; engine <= kEngines; ++engine) {
    const LoadAnswer answer = *world.node(asker).reserve(engine, demandOf(1), kRoom, kBound);
    CHECK(answer.pendingTokens == tokens);
    world.node(asker).release(answer.ticket);
  }
}

}  // namespace

TEST_CASE("the load of an engine is the sum over all nodes") {
  LoadWorld world(7);
  for (uint64_t engine = 1000; engine < 1050; ++engine) {
    CHECK(world.node(1).reserve(engine, demandOf(9000), kRoom, kBound)->isGranted);
    CHECK(world.node(2).reserve(engine, demandOf(9000), kRoom, kBound)->pendingTokens == 9000);
    CHECK_FALSE(world.node(3).reserve(engine, demandOf(9000), kRoom, kBound)->isGranted);
  }
}

// Guards against a count of present requests that is lost between nodes, or read as zero.
TEST_CASE("the requests of all nodes at an engine are told to each of them") {
  LoadWorld world(7);
  for (uint64_t engine = 1000; engine < 1050; ++engine) {
    CHECK(world.node(1).reserve(engine, demandOf(0), kRoom, kBound)->presentRequests == 0U);
    CHECK(world.node(2).reserve(engine, demandOf(0), kRoom, kBound)->presentRequests == 1U);
    CHECK(world.node(3).reserve(engine, demandOf(0), kRoom, kBound)->presentRequests == 2U);
  }
  CHECK(world.node(1).nodeCount() == 7);
}

TEST_CASE("a released request no longer counts as load, whichever node sent it") {
  LoadWorld world(7);
  for (uint64_t engine = 1000; engine < 1050; ++engine) {
    const LoadAnswer answer = *world.node(1).reserve(engine, demandOf(20000), kRoom, kBound);
    CHECK_FALSE(world.node(2).reserve(engine, demandOf(1), kRoom, kBound)->isGranted);
    world.node(1).release(answer.ticket);
  }
  CHECK(world.totalEngineCount() == 0);
}

TEST_CASE(
    "a request whose prompt was read no longer counts as pending, but occupies its slot "
    "until it ends") {
  LoadWorld world(7);
  const gateway::EngineRoom room{1, 0};
  for (uint64_t engine = 1000; engine < 1050; ++engine) {
    const LoadAnswer answer = *world.node(1).reserve(engine, demandOf(20000), room, kBound);
    world.node(1).promptRead(answer.ticket);
    CHECK_FALSE(world.node(2).reserve(engine, demandOf(1), room, 1)->isGranted);
    world.node(1).release(answer.ticket);
    const LoadAnswer next = *world.node(2).reserve(engine, demandOf(1), room, 1);
    CHECK(next.isGranted);
    CHECK(next.tokensPerSecond > 0);
    world.node(2).release(next.ticket);
  }
  CHECK(world.totalEngineCount() == 0);
}

TEST_CASE("a request takes at most three messages at any number of nodes") {
  for (const uint64_t count : {uint64_t{7}, uint64_t{300}}) {
    LoadWorld world(count);
    for (uint64_t engine = 0; engine < 100; ++engine) {
      world.node(1).release(world.node(1).reserve(engine, demandOf(9000), kRoom, kBound)->ticket);
    }
    CHECK(world.messages <= 300);
  }
}

TEST_CASE("if the owner does not answer, reserve returns no load") {
  LoadWorld world(2);
  world.silent.insert(NodeId(2));
  int answered = 0;
  for (uint64_t engine = 0; engine < 20; ++engine) {
    answered += world.node(1).reserve(engine, demandOf(9000), kRoom, kBound) ? 1 : 0;
  }
  CHECK(answered > 0);
  CHECK(answered < 20);
}

TEST_CASE("a reservation whose answer arrives too late is released") {
  LoadWorld world(2);
  proto::Envelope late;
  proto::LoadAnswer& answer = *late.mutable_load()->mutable_answer();
  answer.set_question_id(77);
  answer.set_engine(5);
  answer.set_granted(true);
  const int before = world.messages;
  LoadWorld::Direct sender(world, NodeId(1));
  world.node(1).onMessage(NodeLife{NodeId(2), Incarnation(1)}, late, world.clock.now(), sender);
  CHECK(world.messages == before + 1);
}

// Guards against shared parts or an engine's rejection that only the node that sent the request
// takes into account.
TEST_CASE("cached parts and rejections of an engine are known to all nodes") {
  LoadWorld world(7);
  gateway::EngineDemand demand = demandOf(9190);
  demand.sharedParts = {gateway::SharedPart{1, 2500}, gateway::SharedPart{2, 3800}};
  const gateway::EngineRoom room{32, 95466};
  for (uint64_t engine = 1000; engine < 1050; ++engine) {
    const LoadAnswer first = *world.node(1).reserve(engine, demand, room, kBound);
    CHECK(first.readingTokens == 9190);
    world.node(1).promptRead(first.ticket);
    world.node(1).release(first.ticket);
    LoadAnswer second = *world.node(2).reserve(engine, demand, room, kBound);
    CHECK(second.readingTokens == 2890);
    second.ticket.lackedRoom = true;
    world.node(2).release(second.ticket);
    CHECK_FALSE(world.node(3).reserve(engine, demandOf(800), room, 800)->isGranted);
  }
}

// Guards against engines that look empty for seconds after the node that counted for them left.
TEST_CASE("open requests are reported once to the new owners of their engines within a second") {
  LoadWorld world(7);
  openEverywhere(world, 7);
  checkWaiting(world, 1, 600);
  world.setState(7, MemberState::kSuspect);
  const int before = world.messages;
  world.pass(std::chrono::milliseconds(900));
  const uint64_t renewed = world.totalRenewedCount();
  CHECK(renewed > 0);
  CHECK(renewed % 6 == 0);  // All six requests at each engine that the node owned.
  CHECK(world.messages - before <= static_cast<int>(renewed));
  checkWaiting(world, 1, 600);
  world.pass(std::chrono::milliseconds(900));
  CHECK(world.totalRenewedCount() == renewed);
}

// Guards against requests that a node which becomes the owner counts from anew.
TEST_CASE("open requests that were reported to a new owner are forgotten when they were due") {
  LoadWorld world(7);
  openEverywhere(world, 7);
  world.pass(std::chrono::seconds(2));
  world.setState(7, MemberState::kSuspect);
  world.pass(std::chrono::milliseconds(900));
  CHECK(world.totalRenewedCount() > 0);
  checkWaiting(world, 1, 600);
  world.pass(std::chrono::milliseconds(200));
  checkWaiting(world, 1, 0);
}

// Guards against renewals that are larger than a datagram, and that then need a TCP connection.
TEST_CASE("renewals are sent in bounded messages") {
  LoadWorld world(2);
  gateway::EngineDemand demand = demandOf(9190);
  demand.sharedParts.assign(3, gateway::SharedPart{UINT64_MAX, 3800});
  demand.tenant = demand.requestKey = UINT64_MAX;
  for (uint64_t engine = 1; engine <= 100; ++engine) {
    world.node(1).reserve(engine * (UINT64_MAX / 101), demand, {32, 95466}, kBound);
  }
  world.setState(2, MemberState::kSuspect);  // All engines are node 1's.
  world.pass(std::chrono::seconds(1));
  world.setState(2, MemberState::kAlive);
  const int messages = world.messages;
  const size_t bytes = world.messageBytes;
  world.pass(std::chrono::seconds(1));
  CHECK(world.messages - messages >= 5);
  CHECK((world.messageBytes - bytes) / static_cast<size_t>(world.messages - messages) <= 1100);
}

// Guards against requests that ended while another node owned their engine, and that the first
// owner counts until their deadline after it was suspected for a moment.
TEST_CASE("a request that ends after a change of the owner is released at the former owner, too") {
  LoadWorld world(7);
  const auto tickets = openEverywhere(world, 7);
  world.setState(7, MemberState::kSuspect);
  world.pass(std::chrono::seconds(1));
  for (const auto& [id, ticket] : tickets) {
    world.node(id).release(ticket);
  }
  world.setState(7, MemberState::kAlive);
  world.pass(std::chrono::seconds(1));
  checkWaiting(world, 1, 0);
  CHECK(world.totalEngineCount() == 0);
}

// Guards against a request that is counted twice when an engine returns to its former owner.
TEST_CASE("an owner that is told of a request again does not count it twice") {
  LoadWorld world(7);
  openEverywhere(world, 7);
  world.setState(7, MemberState::kSuspect);
  world.pass(std::chrono::seconds(1));
  world.setState(7, MemberState::kAlive);
  world.pass(std::chrono::seconds(1));
  checkWaiting(world, 1, 600);
}

// Guards against prompts that the engine has read and that the new owner counts as unread.
TEST_CASE("a new owner knows which prompts were read, and that the requests still run") {
  LoadWorld world(7);
  for (const auto& [id, ticket] : openEverywhere(world, 7)) {
    world.node(id).promptRead(ticket);
  }
  world.setState(7, MemberState::kSuspect);
  world.pass(std::chrono::seconds(1));
  checkWaiting(world, 1, 0);
  const gateway::EngineRoom full{6, 100000};
  for (uint64_t engine = 1; engine <= kEngines; ++engine) {
    CHECK(world.node(1).reserve(engine, demandOf(1), full, kBound)->pendingTokens > 0);
  }
}

// Guards against requests of a dead node that occupy engines until their deadline.
TEST_CASE("owners drop the requests of a node that is dead") {
  LoadWorld world(7);
  openEverywhere(world, 0);
  world.pass(std::chrono::milliseconds(100));
  checkWaiting(world, 1, 700);
  world.removeMember(7);
  world.pass(std::chrono::seconds(1));
  checkWaiting(world, 1, 600);
}

// Guards against an owner that knows no requests after its restart, and against its own requests
// before the restart that other owners go on counting.
TEST_CASE("after the restart of a node its counts are rebuilt and its requests are dropped") {
  LoadWorld world(7);
  openEverywhere(world, 0);
  world.pass(std::chrono::milliseconds(100));
  world.restart(7);
  world.setIncarnation(7, Incarnation(2));
  world.pass(std::chrono::seconds(1));
  checkWaiting(world, 1, 600);
}

}  // namespace fernmoor::peers
