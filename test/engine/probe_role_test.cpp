/// @file
/// Tests of src/engine/probe_role.h on the simulated network.
#include "engine/probe_role.h"

#include <doctest/doctest.h>

#include "sim/simulated_cluster.h"

namespace fernmoor {

namespace {

const EngineId kEngine("engine-1");
constexpr Incarnation kIncarnation{7};

BlockChain chainOf(uint64_t first, size_t blocks) {
  BlockChain chain;
  for (size_t block = 0; block < blocks; ++block) {
    chain.hashes.push_back((first + block) * 2);
  }
  chain.tokenCount = static_cast<int64_t>(blocks) * kTokensPerBlock;
  return chain;
}

EngineState stateOf(const EngineId& id) {
  EngineState state;
  state.id = id;
  state.incarnation = kIncarnation;
  state.model = ModelId("model");
  state.weightsVersion = WeightsVersion(1);
  state.load.maxStreams = 32;
  state.load.prefillTokensPerSecond = 20000;
  state.load.queuedPrefillTokens = 1234;
  state.load.runningStreams = 5;
  return state;
}

CacheEventBatch storedBatch(const BlockChain& chain) {
  CacheEventBatch batch;
  batch.incarnation = kIncarnation;
  for (const BlockHash block : chain.hashes) {
    batch.events.push_back(CacheEvent{batch.events.size() + 1, CacheEventKind::kStored, block});
  }
  return batch;
}

/// Nodes 1 to n in one zone; node 1 owns the engine that holds 100 blocks.
struct ProbeFixture {
  explicit ProbeFixture(uint32_t count = 2) : cluster(1) {
    for (uint32_t number = 1; number <= count; ++number) {
      owned.push_back(std::make_unique<OwnedEngines>(knobs));
    }
    for (const sim::Placement& placement : sim::spreadOverZones(count, 1, 1)) {
      cluster.addNode(placement, [this, count](NodeLife life, Time now) {
        std::vector<NodeId> allNodes;
        for (uint32_t number = 1; number <= count; ++number) {
          allNodes.emplace_back(number);
        }
        auto role = std::make_shared<ProbeRole>(
            life.node, *owned[life.node.value() - 1],
            [](const EngineId& engine) { return std::optional<NodeId>(NodeId(1)); },
            [allNodes] { return allNodes; },
            [this, life](const EngineState& state) {
              if (life.node == NodeId(2)) {
                receivedStates.push_back(state);
              }
            },
            knobs);
        return std::vector<sim::HostedRole>{{proto::Envelope::kProbe, role}};
      });
    }
    owned[0]->update(stateOf(kEngine), cluster.now());
    owned[0]->apply(kEngine, storedBatch(chainOf(1000, 100)), cluster.now());
    cluster.startAll();
  }

  std::shared_ptr<ProbeWaiter> ask(const BlockChain& chain,
                                   Incarnation incarnation = kIncarnation) {
    sim::SimulatedNode& prober = cluster.node(NodeId(2));
    return prober.role<ProbeRole>()->ask(chain, {EngineLife{kEngine, incarnation}}, cluster.now(),
                                         prober.sender());
  }

  Knobs knobs;
  sim::SimulatedCluster cluster;
  std::vector<std::unique_ptr<OwnedEngines>> owned;
  std::vector<EngineState> receivedStates;
};

}  // namespace

TEST_CASE_FIXTURE(ProbeFixture, "an owner answers how many blocks its engine matches") {
  BlockChain chain = chainOf(1000, 64);
  const BlockChain tail = chainOf(9000, 64);
  chain.hashes.insert(chain.hashes.end(), tail.hashes.begin(), tail.hashes.end());
  const auto waiter = ask(chain);
  int completions = 0;
  waiter->onComplete([&] { ++completions; });
  CHECK_FALSE(waiter->isComplete());
  CHECK_FALSE(waiter->results()[0].known);
  cluster.run(Duration(2000));
  CHECK(completions == 1);
  CHECK(waiter->results()[0].known);
  CHECK(waiter->results()[0].matchedBlocks == 64);
  SUBCASE("and the answer serves a related prompt for a short time") {
    BlockChain related = chain;
    related.hashes.resize(72);
    related.hashes.resize(128, 5);
    CHECK(ask(related)->results()[0].matchedBlocks == 64);  // Block 72 is known to be missing.
    related.hashes.resize(64);
    related.hashes.resize(128, 5);
    CHECK_FALSE(ask(related)->results()[0].known);  // Blocks after 64 were never probed.
    CHECK(ask(chain)->isComplete());
    CHECK(ask(chain)->results()[0].matchedBlocks == 64);
    cluster.run(knobs.probeReuse);
    CHECK_FALSE(ask(chain)->isComplete());
  }
  SUBCASE("but not one of another incarnation of the engine") {
    const auto other = ask(chain, Incarnation(8));
    cluster.run(Duration(2000));
    CHECK(other->results()[0].matchedBlocks == 0);
  }
}

TEST_CASE_FIXTURE(ProbeFixture, "an unanswered probe stays incomplete and is dropped") {
  cluster.network().cutNodes(NodeId(1), NodeId(2));
  const auto waiter = ask(chainOf(1000, 50));
  cluster.run(Duration(1000000));
  CHECK_FALSE(waiter->isComplete());
  CHECK(cluster.node(NodeId(2)).role<ProbeRole>()->counters().queriesTimedOut == 1);
}

TEST_CASE_FIXTURE(ProbeFixture, "owners push their engines' loads, and their profiles less often") {
  cluster.run(Duration(6000000));
  REQUIRE(receivedStates.size() >= 5);
  CHECK(receivedStates.back().load.queuedPrefillTokens == 1234);
  CHECK(receivedStates.back().load.maxStreams == 32);
  CHECK(receivedStates.back().incarnation == kIncarnation);
  CHECK(receivedStates.back().model == ModelId("model"));
  EngineState restarted = stateOf(kEngine);
  restarted.incarnation = Incarnation(8);
  owned[0]->update(restarted, cluster.now());
  cluster.run(Duration(2000000));
  CHECK(receivedStates.back().incarnation == Incarnation(8));
}

TEST_CASE("a node of the target's size stays within the control budget") {
  // 54 nodes in a zone, 21 requests a second and 2 questions each, 1 engine in 0.63 nodes (86 in a
  // zone): all scaled to one owner and one probing node.
  ProbeFixture fixture(54);
  fixture.cluster.run(Duration(20000000));
  fixture.cluster.network().resetTraffic();
  constexpr int kSeconds = 20;
  constexpr int kQuestionsPerSecond = 42;
  for (int question = 0; question < kSeconds * kQuestionsPerSecond; ++question) {
    fixture.ask(chainOf(100000 * static_cast<uint64_t>(question), 128));
    fixture.cluster.run(Duration(1000000 / kQuestionsPerSecond));
  }
  const double asking =
      static_cast<double>(fixture.cluster.network().trafficOf(NodeId(2)).sent.bytes) / kSeconds;
  const double owning =
      static_cast<double>(fixture.cluster.network().trafficOf(NodeId(1)).sent.bytes) / kSeconds;
  MESSAGE("bytes a second sent: " << asking << " by a prober of 42 prompts a second, " << owning
                                  << " by the owner that answers them and tells 53 nodes the load");
  CHECK(asking + owning < 22000);
}

}  // namespace fernmoor
