/// @file
/// Chooses engines for one request: candidates from the directory, what their caches hold from the
/// views, and the policy's choice among them.
#pragma once

#include <vector>

#include "engine/engine_directory.h"
#include "node/engine_knowledge.h"
#include "relay/stream_relay.h"
#include "routing/routing_policy.h"

namespace fernmoor {

/// One object a request; used by one thread.
class EngineChooser : public EnginePlacer {
 public:
  /// @param row must outlive the chooser.
  EngineChooser(EngineDirectory& directory, RoutingPolicy& policy, EngineKnowledge& knowledge,
                const Clock& clock, const Row& row, const RelayRequest& request, Random random);

  Result<PlacedAttempt> place(const std::vector<EngineId>& excluded) override;
  void reportFailure(const Placement& placement, const Error& error) override;
  void reportCacheHit(const Placement& placement, const AttemptFrame& firstFrame) override;
  void reportEnded(const Placement& placement) override;

 private:
  std::vector<EngineState> candidatesWithout(const std::vector<EngineId>& excluded) const;
  std::vector<EngineCandidate> weigh(const std::vector<EngineState>& entries);
  const BlockChain& chainFor(WeightsVersion weights);
  Error noEngine() const;

  EngineDirectory& directory_;
  RoutingPolicy& policy_;
  EngineKnowledge& knowledge_;
  const Clock& clock_;
  const Row& row_;
  const RelayRequest& request_;
  Random random_;
  BlockChain chain_;
  WeightsVersion chainWeights_;
  bool chainMade_ = false;
};

}  // namespace fernmoor
