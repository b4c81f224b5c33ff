/// @file
/// Least loaded: chooses the engine with the lowest load score, regardless of prefix caches.
#include "routing/engine_load_score.h"
#include "routing/policies.h"

namespace fernmoor {

namespace {

class LeastLoaded : public RoutingPolicy {
 public:
  std::string name() const override { return "least_loaded"; }

  RoutingChoice choose(const RoutingRequest& request,
                       const std::vector<EngineCandidate>& candidates, Time now,
                       Random& random) override {
    // Ties are broken by a random start, so that nodes with the same view of the loads don't all
    // choose the same engine.
    const size_t start = random.below(candidates.size());
    size_t best = start;
    double bestScore = engineLoadScore(candidates[start], now);
    for (size_t step = 1; step < candidates.size(); ++step) {
      const size_t index = (start + step) % candidates.size();
      const double score = engineLoadScore(candidates[index], now);
      if (score < bestScore) {
        best = index;
        bestScore = score;
      }
    }
    RoutingChoice choice;
    choice.candidate = best;
    choice.reason = "least load score, " + std::to_string(bestScore);
    return choice;
  }
};

}  // namespace

std::unique_ptr<RoutingPolicy> makeLeastLoaded(const Knobs& knobs) {
  return std::make_unique<LeastLoaded>();
}

}  // namespace fernmoor
