/// @file
/// Tests of src/peers/part_directory.h: several directories whose messages are delivered at once.
#include "peers/part_directory.h"

#include <doctest/doctest.h>

#include <map>

namespace fernmoor::peers {

namespace {

using gateway::PartHint;
using gateway::PartKey;

class DirectoryWorld {
 public:
  /// Delivers each message as it is sent.
  class Direct : public MessageSender {
   public:
    Direct(DirectoryWorld& world, NodeId from) : world_(world), from_(from) {}
    void send(NodeId to, const proto::Envelope& envelope) override {
      ++world_.messages;
      if (world_.silent.count(to) == 0) {
        world_.node(to).onMessage(NodeLife{from_, Incarnation(1)}, envelope, world_.clock.now(),
                                  *world_.senders_.at(to));
      }
    }

   private:
    DirectoryWorld& world_;
    NodeId from_;
  };

  explicit DirectoryWorld(uint64_t count) {
    auto members = std::make_shared<MembershipSnapshot>();
    for (uint64_t id = 1; id <= count; ++id) {
      Member member;
      member.life.node = NodeId(id);
      members->members.push_back(member);
      senders_[NodeId(id)] = std::make_unique<Direct>(*this, NodeId(id));
      nodes_[NodeId(id)] =
          std::make_unique<PartDirectory>(NodeId(id), clock, *senders_[NodeId(id)]);
    }
    for (auto& node : nodes_) {
      node.second->setMembers(members);
    }
  }
  PartDirectory& node(NodeId id) { return *nodes_.at(id); }
  PartDirectory& node(uint64_t id) { return node(NodeId(id)); }

  SystemClock clock;
  int messages = 0;
  std::set<NodeId> silent;

 private:
  std::map<NodeId, std::unique_ptr<Direct>> senders_;
  std::map<NodeId, std::unique_ptr<PartDirectory>> nodes_;
};

}  // namespace

TEST_CASE("what one node notes of a part every node finds") {
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
    for (PartKey part = 0; part < 100; ++part) {
      world.node(1).find({part, part + 1000});
      world.node(1).note({part, part + 1000}, 5, false);
    }
    CHECK(world.messages <= 100 * 6);
  }
}

TEST_CASE("a node that does not answer costs its hints, not the request") {
  DirectoryWorld world(2);
  world.silent.insert(NodeId(2));
  for (PartKey part = 0; part < 20; ++part) {
    CHECK(world.node(1).find({part}).size() == 1);
  }
}

}  // namespace fernmoor::peers
