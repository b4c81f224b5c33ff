/// @file
/// The errors that reject a claim, each with its remedy. "not run" is reported only where no node
/// can have run the request; in all other cases an earlier send of the same key may have run.
#pragma once

#include <optional>

#include "common/error.h"

namespace fernmoor::claimRefusal {

/// The key's birth is ahead of this node's clock.
Error bornInFuture(RunState runState, std::optional<Duration> retryAfter);
/// The key was used for a request with other content.
Error keyReused(RunState runState);
/// No majority of the key's replicas answered in time.
Error noReplicas(Duration retryAfter);
/// A limit on claims was reached.
Error tooManyClaims(Duration retryAfter);
/// The key's records are lost, voided or belong to a dispatcher that is gone.
Error outcomeUnknown();
/// The request ran, and its answer was too large to store.
Error answerNotKept();

}  // namespace fernmoor::claimRefusal
