/// @file
/// Cost of questions to engines' owners, and of the loads that owners push to their zone.
#include <algorithm>
#include <memory>
#include <string>

#include "bench/resource_usage.h"
#include "bench/slopes.h"
#include "bench/target_sizes.h"
#include "engine/probe_role.h"
#include "sim/simulated_cluster.h"

namespace fernmoor::bench {

namespace {

constexpr int kQuestions = 200;
constexpr Duration kQuestionInterval{50000};
constexpr size_t kBlocksAskedFor = 300;
constexpr double kNodesPerZone = target::kNodes / target::kZones;
/// Questions go to the owners of a prefix's home engines.
constexpr double kHomesAskedFor = 2;
/// Owned engines of a node, the ones of which it is the second owner not counted: these don't push.
constexpr double kPushedEnginesPerNode = target::kEngines / target::kNodes;
constexpr Duration kPushTime{20000000};

EngineId engineName(size_t number) {
  return EngineId("engine-" + std::to_string(1000 + number));
}

/// One zone; engine number i is owned by node i modulo the nodes.
class ProbeZone {
 public:
  /// @param nodes at least 1.
  ProbeZone(uint32_t nodes, size_t engines, bool push)
      : nodes_(std::max(nodes, 1U)), cluster_(1, settings()) {
    for (uint32_t number = 0; number < nodes_; ++number) {
      owned_.push_back(std::make_unique<OwnedEngines>(knobs_));
    }
    for (size_t engine = 0; engine < engines; ++engine) {
      owned_[engine % owned_.size()]->update(stateOf(engine), cluster_.now());
    }
    for (const sim::Placement& placement : sim::spreadOverZones(nodes_, 1, 1)) {
      cluster_.addNode(placement,
                       [this, push](NodeLife life, Time) { return makeRoles(life, push); });
    }
    cluster_.startAll();
  }

  sim::SimulatedCluster& cluster() { return cluster_; }

  /// Node 1 asks for engines of other nodes; the prompts differ, so that no answer is used twice.
  void ask(int question, size_t engines) {
    BlockChain chain;
    for (size_t block = 0; block < kBlocksAskedFor; ++block) {
      chain.hashes.push_back(Random(static_cast<uint64_t>(question) * 1000 + block).next());
    }
    chain.tokenCount = static_cast<int64_t>(kBlocksAskedFor) * kTokensPerBlock;
    std::vector<EngineLife> asked;
    for (size_t engine = 1; engine <= engines; ++engine) {
      asked.push_back(EngineLife{engineName(engine), Incarnation(1)});
    }
    sim::SimulatedNode& node = cluster_.node(NodeId(1));
    node.role<ProbeRole>()->ask(chain, asked, cluster_.now(), node.sender());
  }

  uint64_t bytesSent() {
    uint64_t bytes = 0;
    for (uint32_t node = 1; node <= nodes_; ++node) {
      bytes += cluster_.network().trafficOf(NodeId(node)).sent.bytes;
    }
    return bytes;
  }

 private:
  static sim::NetworkSettings settings() {
    sim::NetworkSettings network;
    network.throughCodec = true;
    return network;
  }

  EngineState stateOf(size_t engine) const {
    EngineState state;
    state.id = engineName(engine);
    state.incarnation = Incarnation(1);
    state.model = ModelId("model-7b");
    state.weightsVersion = WeightsVersion(1);
    state.load.maxStreams = 64;
    state.load.prefillTokensPerSecond = 10000;
    state.load.queuedPrefillTokens = 12345;
    state.load.runningStreams = 40;
    state.load.tokenInterval = Duration(25000);
    state.load.measuredAt = cluster_.now();
    return state;
  }

  std::vector<sim::HostedRole> makeRoles(NodeLife life, bool push) {
    const uint32_t nodes = nodes_;
    std::vector<NodeId> audience;
    for (uint32_t number = 1; push && number <= nodes; ++number) {
      audience.emplace_back(number);
    }
    auto role = std::make_shared<ProbeRole>(
        life.node, *owned_[life.node.value() - 1],
        [nodes](const EngineId& engine) {
          const auto number = static_cast<uint32_t>(std::stoul(engine.value().substr(7))) - 1000;
          return std::optional<NodeId>(NodeId(number % nodes + 1));
        },
        [audience] { return audience; }, [](const EngineState&) {}, knobs_);
    return {{proto::Envelope::kProbe, role}};
  }

  uint32_t nodes_;
  Knobs knobs_;
  sim::SimulatedCluster cluster_;
  std::vector<std::unique_ptr<OwnedEngines>> owned_;
};

struct QuestionCost {
  double bytes = 0;
  double microseconds = 0;
};

QuestionCost measureQuestions(size_t engines) {
  ProbeZone zone(static_cast<uint32_t>(engines) + 1, engines + 1, false);
  zone.cluster().network().resetTraffic();
  const double idle = [&] {
    const double before = threadCpuSeconds();
    zone.cluster().run(kQuestions * kQuestionInterval);
    return threadCpuSeconds() - before;
  }();
  zone.cluster().network().resetTraffic();
  const double before = threadCpuSeconds();
  for (int question = 0; question < kQuestions; ++question) {
    zone.ask(question, engines);
    zone.cluster().run(kQuestionInterval);
  }
  const double busy = threadCpuSeconds() - before;
  return QuestionCost{static_cast<double>(zone.bytesSent()) / kQuestions,
                      (busy - idle) * 1e6 / kQuestions};
}

struct PushCost {
  double bytesPerSecond = 0;  ///< Sent by a node.
  double corePercent = 0;     ///< Of a node, sending and receiving.
};

PushCost measurePush(uint32_t nodes) {
  const auto engines = static_cast<size_t>(nodes * kPushedEnginesPerNode);
  ProbeZone zone(nodes, engines, true);
  zone.cluster().run(Duration(5000000));
  zone.cluster().network().resetTraffic();
  const double before = threadCpuSeconds();
  zone.cluster().run(kPushTime);
  const double nodeSeconds = toSeconds(kPushTime) * nodes;
  return PushCost{static_cast<double>(zone.bytesSent()) / nodeSeconds,
                  100 * (threadCpuSeconds() - before) / nodeSeconds};
}

}  // namespace

std::vector<Slope> measureProbes() {
  Slope bytes{"probe-bytes",
              "bytes sent by asker and owners for one question (300 blocks, 16 sampled hashes)",
              "engines asked for, each of another owner",
              "bytes",
              "ProbeRole (src/engine/probe_role.cpp)",
              {},
              kHomesAskedFor};
  Slope time = bytes;
  time.name = "probe-time";
  time.what = "processor time of one question on all nodes together, codec included";
  time.costUnit = "us";
  for (const size_t engines : {1U, 2U, 4U, 8U, 16U}) {
    const QuestionCost cost = measureQuestions(engines);
    bytes.points.push_back(Point{static_cast<double>(engines), cost.bytes});
    time.points.push_back(Point{static_cast<double>(engines), cost.microseconds});
  }
  Slope pushBytes{"push-bytes",
                  "bytes a second that a node sends to tell its engines' loads to its zone",
                  "nodes of the zone, 1.58 engines each",
                  "bytes/s",
                  "ProbeRole's load pushes (src/engine/probe_role.cpp)",
                  {},
                  kNodesPerZone};
  Slope pushCpu = pushBytes;
  pushCpu.name = "push-cpu";
  pushCpu.what = "share of a core of a node for sending and taking load pushes";
  pushCpu.costUnit = "% of a core";
  for (const uint32_t nodes : {5U, 10U, 20U, 40U, 54U}) {
    const PushCost cost = measurePush(nodes);
    pushBytes.points.push_back(Point{static_cast<double>(nodes), cost.bytesPerSecond});
    pushCpu.points.push_back(Point{static_cast<double>(nodes), cost.corePercent});
  }
  return {bytes, time, pushBytes, pushCpu};
}

}  // namespace fernmoor::bench
