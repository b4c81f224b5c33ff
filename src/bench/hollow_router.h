/// @file
/// One router of an experiment: the daemon's admission, views, memory of placements and routing
/// policy, over the emulated engines. Not thread-safe.
#pragma once

#include <memory>
#include <vector>

#include "admission/admission_controller.h"
#include "bench/engine_fleet.h"
#include "bench/engine_views.h"
#include "routing/routing_policy.h"

namespace fernmoor::bench {

struct HollowRouterOptions {
  int64_t zone = 0;
  int64_t routers = 1;  ///< In the whole deployment; each takes its part of the free places.
  uint64_t seed = 1;
  Knobs knobs;
};

/// Where a request was placed.
struct RouterPlacement {
  size_t engine = 0;
  Placement placement;
};

class HollowRouter {
 public:
  /// @param fleet outlives the router.
  HollowRouter(std::unique_ptr<RoutingPolicy> policy, EngineFleet& fleet,
               const HollowRouterOptions& options);

  int64_t zone() const { return options_.zone; }
  AdmissionController& admission() { return admission_; }

  /// Tells admission how much the engines can take; call it every few tens of milliseconds.
  void updateCapacity(const PoolId& pool, Time now);
  /// Chooses an engine and remembers the placement.
  RouterPlacement place(const RoutingRequest& request, Time now);
  /// The engine told how many leading blocks it had.
  void reportCacheHit(const Placement& placement, const BlockChain& chain, int64_t matchedBlocks);
  void reportEnded(const Placement& placement, Time now);

  /// @return processor time that the policy took so far, in seconds, and number of choices.
  double policySeconds() const { return policySeconds_; }
  int64_t choices() const { return choices_; }

 private:
  std::vector<EngineState> readStates(Time now);
  std::vector<EngineCandidate> candidatesFor(const BlockChain& chain, Time now);

  HollowRouterOptions options_;
  std::unique_ptr<RoutingPolicy> policy_;
  EngineFleet& fleet_;
  EngineViews views_;
  AdmissionController admission_;
  Random random_;
  Time nextExpiry_;
  double policySeconds_ = 0;
  int64_t choices_ = 0;
};

}  // namespace fernmoor::bench
