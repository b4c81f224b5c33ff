/// @file
/// Chooses engines for one request: candidates from the directory, what their caches hold from the
/// views, and the policy's choice among them.
#pragma once

#include <functional>
#include <vector>

#include "engine/engine_directory.h"
#include "relay/stream_relay.h"
#include "routing/routing_policy.h"

namespace fernmoor {

/// How deep an engine's cache matches a chain, as far as it is known.
struct PrefixMatch {
  int64_t blocks = 0;
  bool known = false;
};

/// Answers for each engine how much of a chain it holds. Thread-safe implementations.
class PrefixMatcher {
 public:
  virtual ~PrefixMatcher() = default;
  /// @return one match for each engine, in their order.
  virtual std::vector<PrefixMatch> match(const BlockChain& chain,
                                         const std::vector<EngineEntry>& engines) = 0;
  /// A request with that chain was sent to that engine, which will hold it soon.
  virtual void notePlaced(const BlockChain& chain, const Placement& placement) = 0;
};

/// One object a request; used by one thread.
class EngineChooser : public EnginePlacer {
 public:
  /// @param row must outlive the chooser.
  EngineChooser(EngineDirectory& directory, RoutingPolicy& policy, PrefixMatcher& matcher,
                const Clock& clock, const Row& row, const RelayRequest& request, Random random);

  Result<PlacedAttempt> place(const std::vector<EngineId>& excluded) override;
  void reportFailure(const Placement& placement, const Error& error) override;
  void reportHit(const Placement& placement, const AttemptFrame& firstFrame) override;

 private:
  std::vector<EngineEntry> candidatesWithout(const std::vector<EngineId>& excluded) const;
  std::vector<EngineCandidate> weigh(const std::vector<EngineEntry>& entries);
  const BlockChain& chainFor(WeightsVersion weights);
  Error noEngine() const;

  EngineDirectory& directory_;
  RoutingPolicy& policy_;
  PrefixMatcher& matcher_;
  const Clock& clock_;
  const Row& row_;
  const RelayRequest& request_;
  Random random_;
  BlockChain chain_;
  WeightsVersion chainWeights_;
  bool chainMade_ = false;
};

}  // namespace fernmoor
