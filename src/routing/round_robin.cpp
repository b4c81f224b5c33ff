/// @file
/// Round robin: cycles through the engines.
#include <map>

#include "common/lock_order.h"
#include "routing/policies.h"

namespace fernmoor {

namespace {

class RoundRobin : public RoutingPolicy {
 public:
  std::string name() const override { return "round_robin"; }

  RoutingChoice choose(const RoutingRequest& request,
                       const std::vector<EngineCandidate>& candidates, Time now,
                       Random& random) override {
    RoutingChoice choice;
    choice.candidate = nextIndex(candidates.front().engine.model) % candidates.size();
    choice.reason = "next in turn among " + std::to_string(candidates.size()) + " engines";
    return choice;
  }

 private:
  /// Counts each model separately; with a shared counter, alternating models would skip engines.
  uint64_t nextIndex(const ModelId& model) {
    const RankedLock lock(mutex_);
    return nextIndices_[model]++;
  }

  RankedMutex mutex_{LockRank::kRouting};
  std::map<ModelId, uint64_t> nextIndices_;
};

}  // namespace

std::unique_ptr<RoutingPolicy> makeRoundRobin(const Knobs& knobs) {
  return std::make_unique<RoundRobin>();
}

}  // namespace fernmoor
