/// @file
/// Rendezvous hashing with bounded loads: chooses the first engine in the prefix's home order that,
/// with this request, has at most boundedLoadFactor times the mean number of requests.
#include <cmath>

#include "routing/engine_load_score.h"
#include "routing/policies.h"
#include "routing/prefix_affinity.h"

namespace fernmoor {

namespace {

/// @return the maximum number of requests per engine, including the new one.
int64_t requestBound(const std::vector<EngineCandidate>& candidates, double factor) {
  int64_t total = 1;
  for (const EngineCandidate& candidate : candidates) {
    total += outstandingRequests(candidate);
  }
  const double mean = static_cast<double>(total) / static_cast<double>(candidates.size());
  return static_cast<int64_t>(std::ceil(mean * factor));
}

class BoundedPrefixRendezvous : public RoutingPolicy {
 public:
  explicit BoundedPrefixRendezvous(const Knobs& knobs)
      : affinityBlocks_(knobs.affinityPrefixBlocks), factor_(knobs.boundedLoadFactor) {}

  std::string name() const override { return "bounded_prefix_rendezvous"; }

  RoutingChoice choose(const RoutingRequest& request,
                       const std::vector<EngineCandidate>& candidates, Time now,
                       Random& random) override {
    const int64_t bound = requestBound(candidates, factor_);
    const auto order = homeOrder(affinityKey(request, affinityBlocks_), candidates);
    RoutingChoice choice;
    choice.candidate = order.front();
    for (size_t rank = 0; rank < order.size(); ++rank) {
      if (outstandingRequests(candidates[order[rank]]) + 1 <= bound) {
        choice.candidate = order[rank];
        choice.reason = "home " + std::to_string(rank + 1) + " of the prefix, the first under " +
                        std::to_string(bound) + " requests";
        break;
      }
    }
    return choice;
  }

 private:
  int64_t affinityBlocks_;
  double factor_;
};

}  // namespace

std::unique_ptr<RoutingPolicy> makeBoundedPrefixRendezvous(const Knobs& knobs) {
  return std::make_unique<BoundedPrefixRendezvous>(knobs);
}

}  // namespace fernmoor
