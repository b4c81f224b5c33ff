/// @file
/// One router of an experiment: the daemon's routing policy over what owners tell of the engines,
/// and the record of what this router itself placed since. Not thread-safe.
#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "bench/engine_fleet.h"
#include "routing/routing_policy.h"

namespace fernmoor::bench {

class HollowRouter {
 public:
  /// @param fleet outlives the router.
  HollowRouter(std::unique_ptr<RoutingPolicy> policy, EngineFleet& fleet, int64_t zone,
               uint64_t seed);

  int64_t zone() const { return zone_; }

  /// Asks the owners, chooses an engine, and remembers the placement.
  /// @return the engine's number; the state that the request was placed for is in `placedOn`.
  size_t place(const RoutingRequest& request, Time now, EngineState& placedOn);

  /// @return processor time that the policy took so far, in seconds, and number of choices.
  double policySeconds() const { return policySeconds_; }
  int64_t choices() const { return choices_; }

 private:
  struct PlacedWork {
    Time at;
    int64_t prefillTokens = 0;
  };

  void refresh(const BlockChain& chain);

  std::unique_ptr<RoutingPolicy> policy_;
  EngineFleet& fleet_;
  int64_t zone_;
  Random random_;
  std::vector<EngineCandidate> candidates_;
  std::vector<std::deque<PlacedWork>> placed_;  ///< For each engine, since its load was measured.
  double policySeconds_ = 0;
  int64_t choices_ = 0;
};

}  // namespace fernmoor::bench
