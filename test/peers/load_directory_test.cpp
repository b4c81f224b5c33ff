/// @file
/// Tests of src/peers/load_directory.h: several nodes whose messages are delivered synchronously.
#include "peers/load_directory.h"

#include <doctest/doctest.h>

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
};

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

}  // namespace fernmoor::peers
