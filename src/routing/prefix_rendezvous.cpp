/// @file
/// Rendezvous hashing of the prefix: chooses its first home, regardless of load.
#include "routing/policies.h"
#include "routing/prefix_affinity.h"

namespace fernmoor {

namespace {

class PrefixRendezvous : public RoutingPolicy {
 public:
  explicit PrefixRendezvous(const Knobs& knobs) : affinityBlocks_(knobs.affinityPrefixBlocks) {}

  std::string name() const override { return "prefix_rendezvous"; }

  RoutingChoice choose(const RoutingRequest& request,
                       const std::vector<EngineCandidate>& candidates, Time now,
                       Random& random) override {
    RoutingChoice choice;
    choice.candidate = homeOf(affinityKey(request, affinityBlocks_), candidates);
    choice.reason = "home of the prefix";
    return choice;
  }

 private:
  int64_t affinityBlocks_;
};

}  // namespace

std::unique_ptr<RoutingPolicy> makePrefixRendezvous(const Knobs& knobs) {
  return std::make_unique<PrefixRendezvous>(knobs);
}

}  // namespace fernmoor
