/// @file
/// Tests of src/sim/simulated_node.h and src/sim/simulated_cluster.h.
#include "sim/simulated_node.h"

#include <doctest/doctest.h>

#include "sim/simulated_cluster.h"

namespace fernmoor::sim {
namespace {

/// Counts its calls and greets node 2 at each tick.
class CountingRole : public Role {
 public:
  void onMessage(NodeLife, const proto::Envelope&, Time, MessageSender&) override { ++messages; }
  void onTick(Time, MessageSender& sender) override {
    ++ticks;
    proto::Envelope envelope;
    envelope.mutable_membership();
    sender.send(NodeId(2), envelope);
  }
  int messages = 0;
  int ticks = 0;
};

RoleFactory countingFactory() {
  return [](NodeLife, Time) {
    return std::vector<HostedRole>{{proto::Envelope::kMembership, std::make_shared<CountingRole>()},
                                   {proto::Envelope::kTable, std::make_shared<CountingRole>()}};
  };
}

}  // namespace

TEST_CASE("a node ticks its roles and dispatches by body case") {
  SimulatedCluster cluster(1);
  for (const Placement& placement : spreadOverZones(2, 2, 1)) {
    cluster.addNode(placement, countingFactory());
  }
  cluster.startAll();
  cluster.run(std::chrono::seconds(1));
  const auto role = cluster.node(NodeId(2)).role<CountingRole>();
  CHECK(role->ticks == 20);
  // Two roles on each of two nodes greet it, and only the first role takes membership messages.
  CHECK(role->messages >= 76);
  CHECK(role->messages <= 80);
}

TEST_CASE("a restarted node has new roles and a greater incarnation, and no tick of its past") {
  SimulatedCluster cluster(1);
  SimulatedNode& node = cluster.addNode(spreadOverZones(1, 1, 1).front(), countingFactory());
  node.start();
  cluster.run(std::chrono::seconds(1));
  const NodeLife before = node.life();
  node.crash();
  CHECK(node.role<CountingRole>() == nullptr);
  node.start();
  cluster.run(std::chrono::seconds(1));
  CHECK(before < node.life());
  CHECK(node.role<CountingRole>()->ticks == 20);
}

TEST_CASE("a frozen node does nothing, and one tick and all messages wait for it") {
  SimulatedCluster cluster(1);
  for (const Placement& placement : spreadOverZones(2, 1, 1)) {
    cluster.addNode(placement, countingFactory());
  }
  cluster.startAll();
  cluster.run(std::chrono::seconds(1));
  SimulatedNode& node = cluster.node(NodeId(2));
  const auto role = node.role<CountingRole>();
  const int ticks = role->ticks;
  const int messages = role->messages;
  node.freeze();
  cluster.run(std::chrono::seconds(1));
  CHECK(role->ticks == ticks);
  CHECK(role->messages == messages);
  node.thaw();
  cluster.run(Duration::zero());
  CHECK(role->ticks == ticks + 1);
  CHECK(role->messages >= messages + 39);
}

}  // namespace fernmoor::sim
