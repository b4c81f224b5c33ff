#include "claim/claim_refusal.h"

namespace fernmoor::claimRefusal {

Error bornInFuture(RunState runState, std::optional<Duration> retryAfter) {
  return Error{ErrorKind::kInvalidRequest,
               "The idempotency key has a time in the future. Correct the clock that generates the "
               "keys, or request a key from a node.",
               runState, retryAfter};
}

Error keyReused(RunState runState) {
  return Error{ErrorKind::kConflict,
               "The idempotency key was used for a request with other content. Send this request "
               "with a new key.",
               runState, std::nullopt};
}

Error noReplicas(Duration retryAfter) {
  return Error{ErrorKind::kUnavailable,
               "No majority of the replica group of this key answered in time. Send the "
               "request again with the same key; it runs at most once.",
               RunState::kUnknown, retryAfter};
}

Error tooManyClaims(Duration retryAfter) {
  return Error{ErrorKind::kOverloaded,
               "Too many non-repeatable requests are recorded. Send the request again later with "
               "the same key; it runs at most once.",
               RunState::kUnknown, retryAfter};
}

Error outcomeUnknown() {
  return Error{ErrorKind::kOutcomeUnknown,
               "It is unknown whether the request ran, and it will not be run now. Look the "
               "result up in the application before sending it with a new key.",
               RunState::kUnknown, std::nullopt};
}

Error answerNotKept() {
  return Error{ErrorKind::kConflict,
               "The request ran before, but its answer was too large to store. Look the result up "
               "in the application.",
               RunState::kRan, std::nullopt};
}

}  // namespace fernmoor::claimRefusal
