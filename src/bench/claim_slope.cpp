/// @file
/// Cost of claims of not-repeatable requests: a cluster of nine nodes in three zones, each claim at
/// three replicas, answers of 200 bytes kept.
#include <memory>
#include <string>

#include "bench/resource_usage.h"
#include "bench/slopes.h"
#include "bench/target_sizes.h"
#include "claim/claim_service.h"
#include "sim/simulated_cluster.h"

namespace fernmoor::bench {

namespace {

constexpr uint32_t kNodes = 9;
constexpr size_t kAnswerBytes = 200;
constexpr Duration kClaimInterval{5000};
constexpr Duration kSettleTime{200000};

class ClaimCluster {
 public:
  ClaimCluster() : cluster_(1, settings()) {
    configuration_.epoch = 1;
    for (const sim::Placement& placement : sim::spreadOverZones(kNodes, 3, 1)) {
      cluster_.addNode(placement, [this](NodeLife life, Time now) {
        const int64_t wallAtZero =
            cluster_.clock().wallMicroseconds() - now.time_since_epoch().count();
        return std::vector<sim::HostedRole>{
            {proto::Envelope::kClaim,
             std::make_shared<ClaimService>(life, wallAtZero, Knobs(), life.node.value())}};
      });
    }
    cluster_.startAll();
    for (const auto& node : cluster_.nodes()) {
      configuration_.members.push_back(
          GroupMember{node->placement().node, node->life().incarnation, node->placement().zone});
    }
    for (const auto& node : cluster_.nodes()) {
      node->role<ClaimService>()->setGroupConfiguration(configuration_, cluster_.now(),
                                                        node->sender());
    }
    cluster_.run(Duration(5000000));
  }

  /// Claims keys one after the other and records their answers.
  /// @return claims that were granted.
  int64_t claim(int64_t count) {
    std::vector<Open> open;
    int64_t granted = 0;
    for (int64_t index = 0; index < count; ++index) {
      open.push_back(begin(index));
      cluster_.run(kClaimInterval);
      granted += completeReady(open);
    }
    cluster_.run(kSettleTime);
    granted += completeReady(open);
    cluster_.run(kSettleTime);
    return granted;
  }

  void idle(Duration duration) { cluster_.run(duration); }

  sim::TrafficCount sent() {
    sim::TrafficCount sum;
    for (uint32_t node = 1; node <= kNodes; ++node) {
      const sim::TrafficCount& sent = cluster_.network().trafficOf(NodeId(node)).sent;
      sum.bytes += sent.bytes;
      sum.messages += sent.messages;
    }
    return sum;
  }

  size_t records() {
    size_t records = 0;
    for (const auto& node : cluster_.nodes()) {
      records += node->role<ClaimService>()->status().records;
    }
    return records;
  }

 private:
  struct Open {
    size_t node = 0;
    PendingClaim claim;
  };

  static sim::NetworkSettings settings() {
    sim::NetworkSettings network;
    network.throughCodec = true;
    return network;
  }

  Open begin(int64_t index) {
    const std::string text =
        mintClaimKeyText(cluster_.clock().wallMicroseconds(), static_cast<uint64_t>(index));
    const Result<ClaimKey> key =
        parseClaimKey(TenantId("coast-district"), ServiceId("alert-receipt"), text);
    const size_t number = static_cast<size_t>(index) % kNodes;
    sim::SimulatedNode& node = *cluster_.nodes()[number];
    return Open{number,
                node.role<ClaimService>()->begin(valueOf(key), 7, cluster_.now(), node.sender())};
  }

  int64_t completeReady(std::vector<Open>& open) {
    int64_t granted = 0;
    std::vector<Open> left;
    for (Open& one : open) {
      if (one.claim.outcome.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        left.push_back(std::move(one));
        continue;
      }
      if (std::holds_alternative<ClaimGranted>(one.claim.outcome.get())) {
        ++granted;
        sim::SimulatedNode& node = *cluster_.nodes()[one.node];
        const ClaimAnswer answer{200, "application/json", std::string(kAnswerBytes, 'a'), false};
        node.role<ClaimService>()->complete(one.claim.ticket, answer, cluster_.now(),
                                            node.sender());
      }
    }
    open = std::move(left);
    return granted;
  }

  sim::SimulatedCluster cluster_;
  GroupConfiguration configuration_;
};

}  // namespace

std::vector<Slope> measureClaims() {
  Slope bytes{"claim-bytes",
              "bytes sent by all nodes together for the claims and their answers of 200 bytes",
              "claims",
              "bytes",
              "ClaimService (src/claim/)",
              {},
              1};
  Slope time = bytes;
  time.name = "claim-time";
  time.what = "processor time on all nodes together, codec included, the idle simulator taken off";
  time.costUnit = "us";
  Slope messages = bytes;
  messages.name = "claim-messages";
  messages.what = "messages sent by all nodes together for the claims and their answers";
  messages.costUnit = "messages";
  Slope memory = bytes;
  memory.name = "claim-memory";
  memory.what = "heap of the kept records";
  memory.sizeUnit = "records at one replica";
  memory.costUnit = "bytes";
  memory.mechanism = "ClaimStore (src/claim/claim_store.cpp)";
  for (const int64_t claims : {250, 500, 1000, 2000, 4000}) {
    ClaimCluster cluster;
    double before = threadCpuSeconds();
    cluster.idle(claims * kClaimInterval);
    const double idle = threadCpuSeconds() - before;
    const int64_t heapBefore = heapBytes();
    const sim::TrafficCount sentBefore = cluster.sent();
    before = threadCpuSeconds();
    const auto granted = static_cast<double>(cluster.claim(claims));
    const double busy = threadCpuSeconds() - before;
    const sim::TrafficCount sent = cluster.sent();
    bytes.points.push_back(Point{granted, static_cast<double>(sent.bytes - sentBefore.bytes)});
    messages.points.push_back(
        Point{granted, static_cast<double>(sent.messages - sentBefore.messages)});
    time.points.push_back(Point{granted, (busy - idle) * 1e6});
    memory.points.push_back(Point{static_cast<double>(cluster.records()),
                                  static_cast<double>(heapBytes() - heapBefore)});
  }
  return {bytes, messages, time, memory};
}

}  // namespace fernmoor::bench
