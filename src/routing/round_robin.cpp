/// @file
/// Round robin: each engine in turn.
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
    choice.candidate = nextTurn(candidates.front().engine.model) % candidates.size();
    choice.reason = "its turn among " + std::to_string(candidates.size()) + " engines";
    return choice;
  }

 private:
  /// Counted for each model apart, since alternating models would else skip engines.
  uint64_t nextTurn(const ModelId& model) {
    const RankedLock lock(mutex_);
    return turns_[model]++;
  }

  RankedMutex mutex_{LockRank::kRouting};
  std::map<ModelId, uint64_t> turns_;
};

}  // namespace

std::unique_ptr<RoutingPolicy> makeRoundRobin(const Knobs& knobs) {
  return std::make_unique<RoundRobin>();
}

}  // namespace fernmoor
