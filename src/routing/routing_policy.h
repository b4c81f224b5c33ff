/// @file
/// Interface of the policies that choose the engine for a request, and creation of a policy by
/// name.
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

/// An engine that could serve the request, with its expected cache match for this prompt.
struct EngineCandidate {
  EngineState engine;
  /// Leading blocks believed to be cached there by the node that owns the engine, or expected from
  /// this node's own placements; may be wrong.
  int64_t matchedBlocks = 0;
  bool matchKnown = false;          ///< False if no owner of the engine answered in time.
  int64_t placedPrefillTokens = 0;  ///< Sent by this node since the load was measured.
  int64_t placedStreams = 0;        ///< Requests started minus ended by this node since.
};

/// The request as a policy sees it.
struct RoutingRequest {
  RowKey row;
  int64_t priority = 5;
  DeadlineClass deadlineClass = DeadlineClass::kInteractive;
  double recomputationWeight = 1.0;
  const BlockChain* chain = nullptr;  ///< Not null; must outlive the call.
  int64_t expectedOutputTokens = 0;
};

/// The chosen engine and the reason for it, which `fernmoorctl explain` shows.
struct RoutingChoice {
  size_t candidate = 0;        ///< Index into the candidates.
  double expectedSeconds = 0;  ///< Expected time to first token; 0 if the policy computes none.
  std::string reason;          ///< One line for operators.
};

/// Chooses among candidates that are live and hold the requested weights. Thread-safe.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;
  /// @return the policy's name in settings and reports, e.g. "least_expected_time".
  virtual std::string name() const = 0;
  /// @param candidates must not be empty.
  /// @param random the caller's random number generator.
  virtual RoutingChoice choose(const RoutingRequest& request,
                               const std::vector<EngineCandidate>& candidates, Time now,
                               Random& random) = 0;
};

/// @return the named policy, or an error that lists the known names.
Result<std::unique_ptr<RoutingPolicy>> makeRoutingPolicy(const std::string& name,
                                                         const Knobs& knobs);

/// @return the names of all policies.
std::vector<std::string> routingPolicyNames();

}  // namespace fernmoor
