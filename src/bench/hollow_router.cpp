#include "bench/hollow_router.h"

#include <algorithm>
#include <utility>

#include "bench/resource_usage.h"

namespace fernmoor::bench {

HollowRouter::HollowRouter(std::unique_ptr<RoutingPolicy> policy, EngineFleet& fleet, int64_t zone,
                           uint64_t seed)
    : policy_(std::move(policy)),
      fleet_(fleet),
      zone_(zone),
      random_(seed),
      candidates_(fleet.size()),
      placed_(fleet.size()) {}

size_t HollowRouter::place(const RoutingRequest& request, Time now, EngineState& placedOn) {
  refresh(*request.chain);
  const double before = threadCpuSeconds();
  const RoutingChoice choice = policy_->choose(request, candidates_, now, random_);
  policySeconds_ += threadCpuSeconds() - before;
  ++choices_;
  const EngineCandidate& chosen = candidates_[choice.candidate];
  placedOn = chosen.engine;
  const int64_t matchedTokens = chosen.matchedBlocks * kTokensPerBlock;
  const int64_t missed = std::max<int64_t>(0, request.chain->tokenCount - matchedTokens);
  placed_[choice.candidate].push_back(PlacedWork{now, missed});
  return choice.candidate;
}

void HollowRouter::refresh(const BlockChain& chain) {
  for (size_t index = 0; index < candidates_.size(); ++index) {
    EngineCandidate& candidate = candidates_[index];
    candidate.engine = fleet_.state(index);
    candidate.matchedBlocks = fleet_.believedBlocks(index, chain);
    candidate.matchKnown = true;
    std::deque<PlacedWork>& work = placed_[index];
    while (!work.empty() && work.front().at <= candidate.engine.load.measuredAt) {
      work.pop_front();
    }
    candidate.placedStreams = static_cast<int64_t>(work.size());
    candidate.placedPrefillTokens = 0;
    for (const PlacedWork& one : work) {
      candidate.placedPrefillTokens += one.prefillTokens;
    }
  }
}

}  // namespace fernmoor::bench
