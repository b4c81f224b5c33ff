/// @file
/// Cost of choosing an engine, by number of candidates.
#include <string>

#include "bench/slopes.h"
#include "bench/target_sizes.h"
#include "routing/routing_policy.h"

namespace fernmoor::bench {

namespace {

constexpr const char* kMeasuredPolicies[] = {"least_expected_time", "least_loaded",
                                             "power_of_two_choices", "two_thinning"};
/// A request chooses among its zone's engines of one model at most.
constexpr double kTargetCandidates = target::kEngines / target::kZones;
constexpr size_t kPrefixes = 512;

std::vector<EngineCandidate> makeCandidates(int count) {
  std::vector<EngineCandidate> candidates(static_cast<size_t>(count));
  for (size_t index = 0; index < candidates.size(); ++index) {
    EngineCandidate& candidate = candidates[index];
    candidate.engine.id = EngineId("engine-" + std::to_string(index));
    candidate.engine.load.maxStreams = 32;
    candidate.engine.load.runningStreams = static_cast<int64_t>(index % 32);
    candidate.engine.load.prefillTokensPerSecond = 20000;
    candidate.engine.load.queuedPrefillTokens = static_cast<int64_t>(index * 7919 % 40000);
    candidate.matchedBlocks = static_cast<int64_t>(index * 31 % 200);
    candidate.matchKnown = true;
  }
  return candidates;
}

std::vector<BlockChain> makeChains() {
  std::vector<BlockChain> chains(kPrefixes);
  Random random(1);
  for (BlockChain& chain : chains) {
    for (int block = 0; block < 250; ++block) {
      chain.hashes.push_back(random.next());
    }
    chain.tokenCount = 4000;
  }
  return chains;
}

double secondsPerChoice(const std::string& policyName, int candidateCount) {
  Result<std::unique_ptr<RoutingPolicy>> policy = makeRoutingPolicy(policyName, Knobs());
  if (!isOk(policy)) {
    return 0;
  }
  const std::vector<EngineCandidate> candidates = makeCandidates(candidateCount);
  const std::vector<BlockChain> chains = makeChains();
  Random random(2);
  RoutingRequest request;
  int64_t call = 0;
  return secondsPerCall([&] {
    ++call;
    request.chain = &chains[static_cast<size_t>(call) % chains.size()];
    valueOf(policy)->choose(request, candidates, Time(Duration(call * 1000)), random);
  });
}

}  // namespace

std::vector<Slope> measureRoutingDecision() {
  std::vector<Slope> slopes;
  for (const char* policy : kMeasuredPolicies) {
    Slope slope;
    slope.name = std::string("choice-time-") + policy;
    slope.what = std::string("processor time of one choice by ") + policy;
    slope.sizeUnit = "candidate engines";
    slope.costUnit = "us";
    slope.mechanism = "RoutingPolicy::choose (src/routing/)";
    slope.targetSize = kTargetCandidates;
    for (const int candidates : {4, 12, 20, 50, 100, 200}) {
      const double seconds = secondsPerChoice(policy, candidates);
      slope.points.push_back(Point{static_cast<double>(candidates), seconds * 1e6});
    }
    slopes.push_back(slope);
  }
  return slopes;
}

}  // namespace fernmoor::bench
