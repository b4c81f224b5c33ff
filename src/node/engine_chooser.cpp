#include "node/engine_chooser.h"

#include <algorithm>

namespace fernmoor {

namespace {

/// Spread of Retry-After where no engine is there, so that callers don't return together.
constexpr Duration kEarliestRetry{1000000};
constexpr Duration kLatestRetry{3000000};

bool contains(const std::vector<EngineId>& ids, const EngineId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

EngineChooser::EngineChooser(EngineDirectory& directory, RoutingPolicy& policy,
                             EngineKnowledge& knowledge, const Clock& clock, const Row& row,
                             const RelayRequest& request, Random random)
    : directory_(directory),
      policy_(policy),
      knowledge_(knowledge),
      clock_(clock),
      row_(row),
      request_(request),
      random_(random) {}

Error EngineChooser::noEngine() const {
  Random random = random_;
  return Error{ErrorKind::kUnavailable,
               "no live engine serves model " + row_.model.value() +
                   "; see fernmoorctl engines, and come back later.",
               RunState::kNotRun, random.between(kEarliestRetry, kLatestRetry)};
}

std::vector<EngineState> EngineChooser::candidatesWithout(
    const std::vector<EngineId>& excluded) const {
  const std::vector<EngineState> all =
      directory_.candidates(row_.model, row_.adapter, clock_.now());
  std::vector<EngineState> kept;
  for (const EngineState& entry : all) {
    if (!contains(excluded, entry.id)) {
      kept.push_back(entry);
    }
  }
  // An engine that failed once is still better than none.
  return kept.empty() ? all : kept;
}

const BlockChain& EngineChooser::chainFor(WeightsVersion weights) {
  if (!chainMade_ || chainWeights_ != weights) {
    chain_ =
        hashPrompt(ChainSeed{request_.tenant, row_.model, row_.adapter, weights}, request_.prompt);
    chainWeights_ = weights;
    chainMade_ = true;
  }
  return chain_;
}

std::vector<EngineCandidate> EngineChooser::weigh(const std::vector<EngineState>& entries) {
  const std::vector<EngineFacts> known = knowledge_.lookUp(chain_, entries, clock_.now());
  std::vector<EngineCandidate> candidates;
  candidates.reserve(entries.size());
  for (size_t i = 0; i < entries.size(); ++i) {
    EngineCandidate candidate;
    candidate.engine = entries[i];
    candidate.matchedBlocks = known[i].matchedBlocks;
    candidate.matchKnown = known[i].matchKnown;
    candidate.placedPrefillTokens = known[i].placed.prefillTokens;
    candidate.placedStreams = known[i].placed.streams;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

Result<PlacedAttempt> EngineChooser::place(const std::vector<EngineId>& excluded) {
  std::vector<EngineState> entries = candidatesWithout(excluded);
  if (entries.empty()) {
    return noEngine();
  }
  // While weights change, only engines with the newest ones are chosen: chains differ by version.
  WeightsVersion newest;
  for (const EngineState& entry : entries) {
    newest = std::max(newest, entry.weightsVersion);
  }
  entries.erase(
      std::remove_if(entries.begin(), entries.end(),
                     [&](const EngineState& entry) { return entry.weightsVersion != newest; }),
      entries.end());
  const BlockChain& chain = chainFor(newest);
  const std::vector<EngineCandidate> candidates = weigh(entries);
  RoutingRequest routing;
  routing.row = row_.key;
  routing.priority = row_.priority;
  routing.deadlineClass = row_.deadlineClass;
  routing.recomputationWeight = row_.recomputationWeight;
  routing.chain = &chain;
  routing.expectedOutputTokens = request_.maxTokens;
  const RoutingChoice choice = policy_.choose(routing, candidates, clock_.now(), random_);
  const EngineCandidate& chosen = candidates[choice.candidate];

  PlacedAttempt placed;
  placed.placement.engine = chosen.engine.id;
  placed.placement.address = chosen.engine.address;
  placed.placement.incarnation = chosen.engine.incarnation;
  placed.placement.weightsVersion = chosen.engine.weightsVersion;
  placed.placement.expectedMatchedBlocks = chosen.matchedBlocks;
  placed.reason = policy_.name() + ": " + choice.reason;
  placed.expectedSeconds = choice.expectedSeconds;
  for (const EngineCandidate& candidate : candidates) {
    placed.considered.push_back(ConsideredEngine{candidate.engine.id, candidate.matchedBlocks, 0});
  }
  const int64_t missed = chain.tokenCount - chosen.matchedBlocks * kTokensPerBlock;
  knowledge_.recordSent(placed.placement, chain, std::max<int64_t>(0, missed), clock_.now());
  return placed;
}

void EngineChooser::reportFailure(const Placement& placement, const Error& error) {
  if (error.kind == ErrorKind::kWrongIncarnation || error.kind == ErrorKind::kWrongWeights) {
    directory_.reportStale(placement.engine, placement.incarnation);
    return;
  }
  if (error.kind == ErrorKind::kUnavailable || error.kind == ErrorKind::kTimeout) {
    directory_.reportFailure(placement.engine, clock_.now());
  }
}

void EngineChooser::reportCacheHit(const Placement& placement, const AttemptFrame& firstFrame) {
  directory_.reportSuccess(placement.engine);
  knowledge_.confirm(placement, chain_, firstFrame.cachedTokens / kTokensPerBlock);
}

void EngineChooser::reportEnded(const Placement& placement) {
  knowledge_.recordEnded(placement, clock_.now());
}

}  // namespace fernmoor
