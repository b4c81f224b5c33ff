/// @file
/// Tests of src/peers/load_directory.h: distribution of the statements of engines that they leave
/// or need a pause, among several nodes whose messages are delivered synchronously.
#include <doctest/doctest.h>

#include <map>
#include <memory>

#include "peers/load_directory.h"
#include "test/peers/directory_world.h"

namespace fernmoor::peers {

namespace {

constexpr Duration kTick{100000};

BackendListing engineListing() {
  BackendListing listing;
  listing.id = "e";
  listing.pool = "pool";
  return listing;
}

/// Gives each node its own set of back ends with one engine; a restarted node gets a new set.
struct DirectoryMaker {
  std::unique_ptr<LoadDirectory> operator()(NodeId node, const Clock& clock,
                                            MessageSender& sender) const {
    std::unique_ptr<BackendSet>& set = (*sets)[node];
    set = std::make_unique<BackendSet>();
    set->update(engineListing(), clock.now());
    return std::make_unique<LoadDirectory>(node, clock, sender, set.get());
  }

  std::shared_ptr<std::map<NodeId, std::unique_ptr<BackendSet>>> sets =
      std::make_shared<std::map<NodeId, std::unique_ptr<BackendSet>>>();
};

class StatementWorld : public test::DirectoryWorld<LoadDirectory, DirectoryMaker> {
 public:
  using DirectoryWorld::DirectoryWorld;

  const uint64_t engine = incarnationHash(engineListing());

  BackendSet& engines(uint64_t id) { return *maker.sets->at(NodeId(id)); }
  /// Delivers to a node the statement of the engine that it is leaving.
  void stateLeaving(uint64_t id) {
    gateway::EngineStatement statement;
    statement.engine = engine;
    statement.leavingSince = clock.now();
    node(id).noteStatement(statement);
  }
  void stateRest(uint64_t id, Duration rest) {
    gateway::EngineStatement statement;
    statement.engine = engine;
    statement.restsUntil = clock.now() + rest;
    node(id).noteStatement(statement);
  }
  void pass(Duration time) {
    const Time end = clock.now() + time;
    while (clock.now() < end) {
      clock.advanceTo(clock.now() + kTick);
      for (uint64_t id = 1; id <= size(); ++id) {
        node(id).onTick(clock.now(), sender(NodeId(id)));
      }
    }
  }
  size_t nodesThatKnow() {
    size_t count = 0;
    for (uint64_t id = 1; id <= size(); ++id) {
      count += engines(id).isUsable("e") ? 0 : 1;
    }
    return count;
  }
  /// @return the owner of the engine, recognized by not sending a message when it reports a load.
  uint64_t owner() {
    for (uint64_t id = 1; id <= size(); ++id) {
      const int before = messages;
      node(id).promptRead(gateway::LoadTicket{engine, 0, false, false});
      if (messages == before) {
        return id;
      }
    }
    return 0;
  }
};

}  // namespace

TEST_CASE("a leaving statement to one node reaches all nodes at once") {
  for (const uint64_t count : {uint64_t{1}, uint64_t{7}, uint64_t{69}}) {
    StatementWorld world(count);
    world.stateLeaving(count);
    CHECK(world.nodesThatKnow() == count);
    const int before = world.messages;
    world.stateLeaving(1);
    CHECK(world.messages == before);
  }
}

TEST_CASE("a restarted node receives the statement of a leaving engine") {
  StatementWorld world(7);
  world.stateLeaving(1);
  world.pass(std::chrono::seconds(1));
  SUBCASE("the owner of the engine") {
    const uint64_t owner = world.owner();
    world.restart(owner);
    CHECK(world.nodesThatKnow() == 6);
  }
  SUBCASE("another node") {
    world.restart(world.owner() == 7 ? 6 : 7);
    CHECK(world.nodesThatKnow() == 6);
  }
  world.pass(std::chrono::seconds(12));
  CHECK(world.nodesThatKnow() == 7);
}

TEST_CASE("an engine that the list shows as leaving is announced by nobody") {
  StatementWorld world(69);
  BackendListing leaving = engineListing();
  leaving.isDraining = true;
  for (uint64_t id = 1; id <= world.size(); ++id) {
    world.engines(id).update(leaving, world.clock.now());
  }
  world.pass(std::chrono::seconds(12));
  CHECK(world.messages == 0);
  SUBCASE("also if a node had it from an answer") {
    world.stateLeaving(1);
    world.pass(std::chrono::seconds(12));
    CHECK(world.messages == 0);
  }
  SUBCASE("until the store comes back from a copy in which it is ready") {
    for (uint64_t id = 2; id <= world.size(); ++id) {
      world.engines(id).update(engineListing(), world.clock.now());
    }
    world.restart(1);
    world.pass(std::chrono::seconds(12));
    CHECK(world.nodesThatKnow() == world.size());
  }
}

TEST_CASE("a statement whose message was lost is sent again") {
  StatementWorld world(7);
  const uint64_t owner = world.owner();
  world.silent.insert(NodeId(owner));
  world.stateLeaving(owner == 1 ? 2 : 1);
  CHECK(world.nodesThatKnow() == 1);
  world.silent.clear();
  world.pass(std::chrono::seconds(1));
  CHECK(world.nodesThatKnow() == 7);
}

TEST_CASE("a pause binds the node that received it, and all other nodes avoid the engine") {
  StatementWorld world(7);
  world.stateRest(3, std::chrono::seconds(3));
  for (uint64_t id = 1; id <= world.size(); ++id) {
    const BackendView view = world.engines(id).membersOf("pool", "", world.clock.now()).at(0);
    CHECK((view.restsUntil > world.clock.now()) == (id == 3));
    CHECK(view.isAvoided);
  }
  world.pass(std::chrono::seconds(4));
  for (uint64_t id = 1; id <= world.size(); ++id) {
    CHECK_FALSE(world.engines(id).membersOf("pool", "", world.clock.now()).at(0).isAvoided);
  }
  SUBCASE("and it costs no messages once it is over") {
    const int before = world.messages;
    world.pass(std::chrono::seconds(20));
    CHECK(world.messages == before);
  }
}

TEST_CASE("statements of all kinds are sent together") {
  StatementWorld world(5);
  gateway::EngineStatement statement;
  statement.engine = world.engine;
  statement.limit = gateway::LimitStatement{1.4, world.clock.now(), world.clock.now()};
  statement.leavingSince = world.clock.now();
  statement.restsUntil = world.clock.now() + std::chrono::seconds(2);
  world.node(2).noteStatement(statement);
  for (uint64_t id = 1; id <= world.size(); ++id) {
    CHECK(world.node(id).limitedCount() == 1);
    CHECK_FALSE(world.engines(id).isUsable("e"));
    CHECK((world.engines(id).withdrawal(world.engine, world.clock.now())->sparedUntil >
           world.clock.now()));
  }
}

}  // namespace fernmoor::peers
