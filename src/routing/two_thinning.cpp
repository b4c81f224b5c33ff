/// @file
/// Two-thinning: takes the first home of the prefix unless its load score exceeds the mean by more
/// than a threshold; then takes a random engine without looking at its load.
#include "routing/engine_load_score.h"
#include "routing/policies.h"
#include "routing/prefix_affinity.h"

namespace fernmoor {

namespace {

class TwoThinning : public RoutingPolicy {
 public:
  explicit TwoThinning(const Knobs& knobs)
      : affinityBlocks_(knobs.affinityPrefixBlocks), threshold_(knobs.twoThinningThreshold) {}

  std::string name() const override { return "two_thinning"; }

  RoutingChoice choose(const RoutingRequest& request,
                       const std::vector<EngineCandidate>& candidates, Time now,
                       Random& random) override {
    const size_t suggested = homeOf(affinityKey(request, affinityBlocks_), candidates);
    const double excess =
        engineLoadScore(candidates[suggested], now) - meanLoadScore(candidates, now);
    RoutingChoice choice;
    if (excess <= threshold_) {
      choice.candidate = suggested;
      choice.reason = "home of the prefix, " + std::to_string(excess) + " over the mean load";
      return choice;
    }
    choice.candidate = random.below(candidates.size());
    choice.reason = "drawn at random after " + candidates[suggested].engine.id.value() +
                    " was refused at " + std::to_string(excess) + " over the mean load";
    return choice;
  }

 private:
  int64_t affinityBlocks_;
  double threshold_;
};

}  // namespace

std::unique_ptr<RoutingPolicy> makeTwoThinning(const Knobs& knobs) {
  return std::make_unique<TwoThinning>(knobs);
}

}  // namespace fernmoor
