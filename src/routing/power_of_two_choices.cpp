/// @file
/// Power of two choices: chooses the less loaded of two random engines.
#include "routing/engine_load_score.h"
#include "routing/policies.h"

namespace fernmoor {

namespace {

class PowerOfTwoChoices : public RoutingPolicy {
 public:
  std::string name() const override { return "power_of_two_choices"; }

  RoutingChoice choose(const RoutingRequest& request,
                       const std::vector<EngineCandidate>& candidates, Time now,
                       Random& random) override {
    RoutingChoice choice;
    if (candidates.size() == 1) {
      choice.reason = "the only engine";
      return choice;
    }
    const size_t first = random.below(candidates.size());
    const size_t step = 1 + random.below(candidates.size() - 1);
    const size_t second = (first + step) % candidates.size();
    const double firstScore = engineLoadScore(candidates[first], now);
    const double secondScore = engineLoadScore(candidates[second], now);
    choice.candidate = secondScore < firstScore ? second : first;
    choice.reason = "the less loaded of " + candidates[first].engine.id.value() + " (" +
                    std::to_string(firstScore) + ") and " + candidates[second].engine.id.value() +
                    " (" + std::to_string(secondScore) + ")";
    return choice;
  }
};

}  // namespace

std::unique_ptr<RoutingPolicy> makePowerOfTwoChoices(const Knobs& knobs) {
  return std::make_unique<PowerOfTwoChoices>();
}

}  // namespace fernmoor
