/// @file
/// Policy that chooses the engine with the least expected time to first token; it is specific to
/// this project. The score adds the part of the prefill queue that is served before the request,
/// the part of the prompt that has to be recomputed (weighted by the row's recomputationWeight),
/// the wait for a batch slot and the batch occupancy. Engines that are not a home of the prefix get
/// a small penalty, so that a new prefix is not scattered over several engines. docs/ROUTING.md has
/// the figures.
#include <algorithm>

#include "common/lock_order.h"
#include "routing/engine_load_score.h"
#include "routing/hot_prefix_tracker.h"
#include "routing/policies.h"
#include "routing/prefix_affinity.h"

namespace fernmoor {

namespace {

/// Used until an engine reports its prefill rate; only the order of magnitude matters.
constexpr double kAssumedPrefillTokensPerSecond = 10000;
/// Used if the caller set no limit on the answer's length.
constexpr int64_t kAssumedOutputTokens = 128;

double prefillRate(const EngineCandidate& candidate) {
  const double reported = candidate.engine.load.prefillTokensPerSecond;
  return reported > 0 ? reported : kAssumedPrefillTokensPerSecond;
}

/// @return expected seconds until a batch slot is free; 0 if one is free now.
double slotWaitSeconds(const RoutingRequest& request, const EngineCandidate& candidate) {
  const EngineLoad& load = candidate.engine.load;
  const int64_t ahead = outstandingRequests(candidate) + 1 - load.maxStreams;
  if (load.maxStreams <= 0 || ahead <= 0) {
    return 0;
  }
  const int64_t outputTokens =
      request.expectedOutputTokens > 0 ? request.expectedOutputTokens : kAssumedOutputTokens;
  const double streamSeconds = static_cast<double>(outputTokens) * toSeconds(load.tokenInterval);
  return static_cast<double>(ahead) * streamSeconds / static_cast<double>(load.maxStreams);
}

double recomputationSeconds(const RoutingRequest& request, const EngineCandidate& candidate) {
  const int64_t matched = candidate.matchedBlocks * kTokensPerBlock;
  const int64_t uncachedTokens = std::max<int64_t>(0, request.chain->tokenCount - matched);
  return static_cast<double>(uncachedTokens) / prefillRate(candidate);
}

/// @return outstanding requests per batch slot; more than 1 if requests wait for a slot.
double batchFullness(const EngineCandidate& candidate) {
  const int64_t slots = std::max<int64_t>(1, candidate.engine.load.maxStreams);
  return static_cast<double>(outstandingRequests(candidate)) / static_cast<double>(slots);
}

/// Expected time to first token on one engine, in seconds.
struct ExpectedTime {
  double queue = 0;
  double recomputation = 0;
  double slotWait = 0;
  double total() const { return queue + recomputation + slotWait; }
};

std::string describe(const ExpectedTime& time, const EngineCandidate& candidate, size_t homes) {
  return "expected " + std::to_string(time.total()) + " s: queue " + std::to_string(time.queue) +
         ", recomputation " + std::to_string(time.recomputation) + ", batch " +
         std::to_string(time.slotWait) + "; " + std::to_string(candidate.matchedBlocks) +
         " blocks matched, " + std::to_string(homes) + " homes";
}

class LeastExpectedTime : public RoutingPolicy {
 public:
  explicit LeastExpectedTime(const Knobs& knobs)
      : affinityBlocks_(knobs.affinityPrefixBlocks),
        nonHomePenalty_(knobs.nonHomePenaltySeconds),
        fullnessSeconds_(knobs.batchFullnessSeconds),
        interactiveQueueShare_(knobs.interactiveQueueShare),
        hotPrefixes_(knobs) {}

  std::string name() const override { return "least_expected_time"; }

  RoutingChoice choose(const RoutingRequest& request,
                       const std::vector<EngineCandidate>& candidates, Time now,
                       Random& random) override {
    const uint64_t prefix = affinityKey(request, affinityBlocks_);
    const size_t homes = countRequest(prefix, now);
    const std::vector<size_t> order = homeOrder(prefix, candidates);
    RoutingChoice choice;
    ExpectedTime chosen;
    double bestScore = 0;
    for (size_t rank = 0; rank < order.size(); ++rank) {
      const EngineCandidate& candidate = candidates[order[rank]];
      const ExpectedTime time = expectedTime(request, candidate, now);
      const double penalty = rank < homes ? 0 : nonHomePenalty_;
      const double score = time.queue + time.slotWait +
                           time.recomputation * request.recomputationWeight +
                           batchFullness(candidate) * fullnessSeconds_ + penalty;
      if (rank == 0 || score < bestScore) {
        bestScore = score;
        choice.candidate = order[rank];
        chosen = time;
      }
    }
    choice.expectedSeconds = chosen.total();
    choice.reason = describe(chosen, candidates[choice.candidate], homes);
    return choice;
  }

 private:
  ExpectedTime expectedTime(const RoutingRequest& request, const EngineCandidate& candidate,
                            Time now) const {
    const bool interactive = request.deadlineClass == DeadlineClass::kInteractive;
    ExpectedTime time;
    time.queue = prefillQueueSeconds(candidate, now) * (interactive ? interactiveQueueShare_ : 1.0);
    time.recomputation = recomputationSeconds(request, candidate);
    time.slotWait = slotWaitSeconds(request, candidate);
    return time;
  }

  size_t countRequest(uint64_t prefix, Time now) {
    const RankedLock lock(mutex_);
    return hotPrefixes_.countRequest(prefix, now);
  }

  int64_t affinityBlocks_;
  double nonHomePenalty_;
  double fullnessSeconds_;
  double interactiveQueueShare_;
  RankedMutex mutex_{LockRank::kRouting};
  HotPrefixTracker hotPrefixes_;
};

}  // namespace

std::unique_ptr<RoutingPolicy> makeLeastExpectedTime(const Knobs& knobs) {
  return std::make_unique<LeastExpectedTime>(knobs);
}

}  // namespace fernmoor
