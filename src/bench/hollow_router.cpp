#include "bench/hollow_router.h"

#include <algorithm>
#include <utility>

#include "admission/pool_capacity.h"
#include "bench/resource_usage.h"

namespace fernmoor::bench {

namespace {

constexpr Duration kExpiryInterval{1000000};

}  // namespace

HollowRouter::HollowRouter(std::unique_ptr<RoutingPolicy> policy, EngineFleet& fleet,
                           const HollowRouterOptions& options)
    : options_(options),
      policy_(std::move(policy)),
      fleet_(fleet),
      views_(options.knobs),
      admission_(options.knobs, std::make_unique<LocalRowLimiter>(), options.seed),
      random_(options.seed) {}

void HollowRouter::updateCapacity(const PoolId& pool, Time now) {
  const BlockChain none;
  const int64_t places =
      freePlaces(candidatesFor(none, now), options_.routers, now, options_.knobs);
  admission_.setCapacity(pool, places, now);
  if (now >= nextExpiry_) {
    views_.expire(now);
    nextExpiry_ = now + kExpiryInterval;
  }
}

RouterPlacement HollowRouter::place(const RoutingRequest& request, Time now) {
  const std::vector<EngineCandidate> candidates = candidatesFor(*request.chain, now);
  const double before = threadCpuSeconds();
  const RoutingChoice choice = policy_->choose(request, candidates, now, random_);
  policySeconds_ += threadCpuSeconds() - before;
  ++choices_;
  const EngineCandidate& chosen = candidates[choice.candidate];
  RouterPlacement placed;
  placed.engine = choice.candidate;
  placed.placement.engine = chosen.engine.id;
  placed.placement.incarnation = chosen.engine.incarnation;
  placed.placement.weightsVersion = chosen.engine.weightsVersion;
  placed.placement.expectedMatchedBlocks = chosen.matchedBlocks;
  const int64_t missed = request.chain->tokenCount - chosen.matchedBlocks * kTokensPerBlock;
  views_.recordSent(placed.placement, *request.chain, std::max<int64_t>(0, missed), now);
  return placed;
}

void HollowRouter::reportCacheHit(const Placement& placement, const BlockChain& chain,
                                  int64_t matchedBlocks) {
  views_.confirm(placement, chain, matchedBlocks);
}

void HollowRouter::reportEnded(const Placement& placement, Time now) {
  views_.recordEnded(placement, now);
}

/// Takes the reports and cache events that have arrived by now.
std::vector<EngineState> HollowRouter::readStates(Time now) {
  std::vector<EngineState> states;
  states.reserve(fleet_.size());
  for (size_t index = 0; index < fleet_.size(); ++index) {
    states.push_back(fleet_.state(index));
    const EngineState& state = states.back();
    if (fleet_.isPerfect()) {
      continue;
    }
    views_.align(state);
    const uint64_t after = views_.sequenceOf(state.id, state.incarnation);
    views_.apply(state.id, fleet_.events(index, after), now);
  }
  return states;
}

std::vector<EngineCandidate> HollowRouter::candidatesFor(const BlockChain& chain, Time now) {
  std::vector<EngineState> states = readStates(now);
  const std::vector<EngineKnowledge> known = views_.knowledge(chain, states, now);
  std::vector<EngineCandidate> candidates(states.size());
  for (size_t index = 0; index < states.size(); ++index) {
    EngineCandidate& candidate = candidates[index];
    candidate.engine = std::move(states[index]);
    candidate.matchedBlocks =
        fleet_.isPerfect() ? fleet_.cachedBlocks(index, chain) : known[index].matchedBlocks;
    candidate.matchKnown = known[index].matchKnown || fleet_.isPerfect();
    candidate.placedPrefillTokens = known[index].placed.prefillTokens;
    candidate.placedStreams = known[index].placed.streams;
  }
  return candidates;
}

}  // namespace fernmoor::bench
