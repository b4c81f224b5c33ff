/// @file
/// Interface of the policies that choose an engine. One small class and file for each policy.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/knobs.h"
#include "common/random.h"
#include "engine/engine_state.h"
#include "prefix/block_chain.h"
#include "table/row.h"

namespace fernmoor {

/// An engine that could serve the request, with what is known of it for this prompt.
struct EngineCandidate {
  EngineState engine;
  int64_t matchedBlocks = 0;  ///< Leading blocks that its owner believes cached; may be wrong.
  bool matchKnown = false;    ///< False where no owner answered in time.
  int64_t placedPrefillTokens = 0;  ///< Sent there by this node since the load was measured.
  int64_t placedStreams = 0;        ///< Likewise, requests.
};

/// The request as a policy sees it.
struct RoutingRequest {
  RowKey row;
  int64_t priority = 5;
  DeadlineClass deadlineClass = DeadlineClass::kInteractive;
  double recomputationWeight = 1.0;
  const BlockChain* chain = nullptr;  ///< Never null; owned by the caller for the call's length.
  int64_t expectedOutputTokens = 0;
};

/// A choice and the reason for it, kept for `fernmoorctl explain`.
struct RoutingChoice {
  size_t candidate = 0;        ///< Index into the candidates.
  double expectedSeconds = 0;  ///< Expected time to first token; 0 where the policy has none.
  std::string reason;          ///< One line for operators.
};

/// Chooses among candidates that are live and hold the right weights. Thread-safe.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;
  /// @return the policy's name in settings and reports, e.g. "least_expected_time".
  virtual std::string name() const = 0;
  /// @param candidates at least one.
  /// @param random the caller's generator.
  virtual RoutingChoice choose(const RoutingRequest& request,
                               const std::vector<EngineCandidate>& candidates, Time now,
                               Random& random) = 0;
};

/// @return the policy of that name, or an error that lists the names.
Result<std::unique_ptr<RoutingPolicy>> makeRoutingPolicy(const std::string& name,
                                                         const Knobs& knobs);

/// @return the names of all policies.
std::vector<std::string> routingPolicyNames();

}  // namespace fernmoor
