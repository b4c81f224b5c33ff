/// @file
/// The errors by which a claim is refused, each with its remedy. "not run" is said only where no
/// node can have run the request; everywhere else a former send of the same key may have.
#pragma once

#include <optional>

#include "common/error.h"

namespace fernmoor::claimRefusal {

/// The key's birth lies ahead of this node's clock.
Error bornInFuture(RunState runState, std::optional<Duration> retryAfter);
/// The key was used for a request with other content.
Error keyReused(RunState runState);
/// No majority of the key's replicas answered in time.
Error noReplicas(Duration retryAfter);
/// A bound on claims was reached.
Error tooManyClaims(Duration retryAfter);
/// The key's records are lost, voided or belong to a dispatcher that went away.
Error outcomeUnknown();
/// The request ran, and its answer was too large to keep.
Error answerNotKept();

}  // namespace fernmoor::claimRefusal
