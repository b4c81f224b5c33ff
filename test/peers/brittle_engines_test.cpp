/// @file
/// Tests of src/peers/load_directory.h: engines that state they are brittle, protected by several
/// nodes whose messages are delivered synchronously.
#include <doctest/doctest.h>

#include <functional>
#include <vector>

#include "peers/load_directory.h"
#include "test/peers/directory_world.h"

namespace fernmoor::peers {

namespace {

using gateway::LimitStatement;
using gateway::LoadAnswer;
using gateway::LoadTicket;

constexpr uint64_t kNodes = 5;
constexpr uint32_t kPlaces = 16;
constexpr Duration kStep{10000};
constexpr Duration kTick{100000};

BackendListing listingOf(const std::string& id, const std::string& pool = "pool") {
  BackendListing listing;
  listing.id = id;
  listing.pool = pool;
  listing.slots = kPlaces;
  return listing;
}

const uint64_t kEngine = incarnationHash(listingOf("e"));

/// Gives all nodes one list of engines.
struct ListMaker {
  std::unique_ptr<LoadDirectory> operator()(NodeId node, const Clock& clock,
                                            MessageSender& sender) const {
    return std::make_unique<LoadDirectory>(node, clock, sender, engines.get());
  }
  std::shared_ptr<BackendSet> engines = std::make_shared<BackendSet>();
};

class BrittleWorld : public test::DirectoryWorld<LoadDirectory, ListMaker> {
 public:
  BrittleWorld() : DirectoryWorld(kNodes) {
    maker.engines->update(listingOf("e"), clock.now());
    maker.engines->update(listingOf("new"), clock.now());
    maker.engines->update(listingOf("plain", "other pool"), clock.now());
    pass(std::chrono::seconds(1));
  }
  void pass(Duration time) {
    const Time end = clock.now() + time;
    while (clock.now() < end) {
      clock.advanceTo(clock.now() + kStep);
      if ((clock.now() - sim::VirtualClock::kStart) % kTick == Duration(0)) {
        for (uint64_t id = 1; id <= kNodes; ++id) {
          node(id).onTick(clock.now(), sender(NodeId(id)));
        }
      }
    }
  }
  void state(uint64_t id, std::optional<double> survives, uint64_t engine = kEngine) {
    gateway::EngineStatement statement;
    statement.engine = engine;
    statement.brittleness = LimitStatement{survives, clock.now() - kStep, clock.now()};
    node(id).noteStatement(statement);
  }
  std::optional<LoadAnswer> ask(uint64_t id, uint64_t engine = kEngine, bool isCounted = false) {
    gateway::EngineDemand demand;
    demand.isCounted = isCounted;
    demand.forgetAfter = std::chrono::seconds(20);
    return node(id).reserve(engine, demand, gateway::EngineRoom{},
                            std::numeric_limits<uint64_t>::max());
  }
  /// All nodes ask until none gets a place. @return the tickets of those that got one.
  std::vector<LoadTicket> fill(uint64_t engine = kEngine) {
    std::vector<LoadTicket> tickets;
    for (int round = 0; round < 100; ++round) {
      for (uint64_t id = 1; id <= kNodes; ++id) {
        const auto answer = ask(id, engine, id % 2 == 0);
        if (answer && answer->isGranted) {
          tickets.push_back(answer->ticket);
          owners.push_back(id);
        }
      }
      pass(kStep);
    }
    return tickets;
  }
  size_t nodesThatKnow() {
    size_t sum = 0;
    for (uint64_t id = 1; id <= kNodes; ++id) {
      sum += node(id).brittleCount();
    }
    return sum;
  }

  std::vector<uint64_t> owners;  ///< Of the tickets that fill() took.
};

}  // namespace

TEST_CASE("all nodes together send a brittle engine no more requests than its places") {
  BrittleWorld world;
  world.state(2, 8);
  CHECK(world.nodesThatKnow() == kNodes);
  const std::vector<LoadTicket> tickets = world.fill();
  CHECK(tickets.size() == kPlaces);
  for (uint64_t id = 1; id <= kNodes; ++id) {
    CHECK(world.ask(id)->lacksPermit);
    CHECK(world.node(id).permitDue(kEngine) > Duration(0));
    CHECK_FALSE(world.node(id).mayGoUnasked(kEngine));
  }

  SUBCASE("a request that ends frees its place, also one that needed only a permit") {
    for (size_t index = 0; index < tickets.size(); ++index) {
      CHECK(tickets[index].isCounted);
      world.node(world.owners[index]).release(tickets[index]);
    }
    world.pass(std::chrono::seconds(3));
    CHECK(world.fill().size() == kPlaces);
  }
  SUBCASE("a rejection is known to all at once") {
    LoadTicket rejected = tickets[0];
    rejected.lackedRoom = true;
    world.node(world.owners[0]).release(rejected);
    rejected = tickets[1];
    rejected.lackedRoom = true;
    world.node(world.owners[1]).release(rejected);
    for (uint64_t id = 1; id <= kNodes; ++id) {
      const auto answer = world.ask(id);
      CHECK(answer->lacksPermit);
      CHECK(answer->permitWait > std::chrono::milliseconds(900));
    }
  }
  SUBCASE("an answer that says nothing of it ends that") {
    world.pass(std::chrono::milliseconds(100));
    world.state(3, std::nullopt);
    CHECK(world.nodesThatKnow() == 0);
    CHECK_FALSE(world.node(1).permitDue(kEngine));
    CHECK(world.ask(1)->isGranted);
  }
  SUBCASE("a node that was started anew hears of it without asking") {
    world.restart(4);
    world.pass(std::chrono::seconds(12));
    CHECK(world.node(4).brittleCount() == 1);
  }
}

TEST_CASE("an engine that has not answered yet is as brittle as the others of its service") {
  BrittleWorld world;
  const uint64_t fresh = incarnationHash(listingOf("new"));
  const uint64_t plain = incarnationHash(listingOf("plain", "other pool"));
  CHECK_FALSE(world.node(1).permitDue(fresh));
  world.state(2, 8);
  CHECK(world.node(1).permitDue(fresh));
  CHECK_FALSE(world.node(1).permitDue(plain));
  CHECK(world.fill(fresh).size() == kPlaces);

  SUBCASE("until no other has said so for ten seconds") {
    world.pass(std::chrono::seconds(11));
    CHECK_FALSE(world.node(1).permitDue(fresh));
  }
  SUBCASE("or one says that it ended") {
    world.state(1, std::nullopt);
    CHECK_FALSE(world.node(1).permitDue(fresh));
  }
}

TEST_CASE("a new owner of a brittle engine admits few requests at once") {
  BrittleWorld world;
  world.state(2, 8);
  world.pass(std::chrono::seconds(4));
  CHECK(world.fill().size() == kPlaces);
  for (uint64_t id = 1; id <= kNodes; ++id) {
    world.restart(id);  // Also the owner, so that nobody counts the requests that run.
  }
  world.state(2, 8);
  size_t admitted = 0;
  for (int asked = 0; asked < 20; ++asked) {
    admitted += world.ask(1 + asked % kNodes)->isGranted ? 1 : 0;
  }
  CHECK(admitted <= 4);
}

TEST_CASE("both sides of a partition together send a brittle engine no more than its places") {
  BrittleWorld world;
  world.state(2, 8);
  for (uint64_t id = 1; id <= kNodes; ++id) {
    world.node(id).setReachableShare(0.5);
  }
  CHECK(world.fill().size() == kPlaces / 2);
}

}  // namespace fernmoor::peers
