#include "claim/claim_refusal.h"

namespace fernmoor::claimRefusal {

Error bornInFuture(RunState runState, std::optional<Duration> retryAfter) {
  return Error{ErrorKind::kInvalidRequest,
               "The idempotency key's time lies in the future. Set the clock that makes the keys, "
               "or ask a node for a key.",
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
               "No majority of the nodes that keep this key's claim answered in time. Send the "
               "request again with the same key; it runs at most once.",
               RunState::kUnknown, retryAfter};
}

Error tooManyClaims(Duration retryAfter) {
  return Error{ErrorKind::kOverloaded,
               "Too many not-repeatable requests are on record. Send the request again later with "
               "the same key; it runs at most once.",
               RunState::kUnknown, retryAfter};
}

Error outcomeUnknown() {
  return Error{ErrorKind::kOutcomeUnknown,
               "Whether the request ran cannot be told, and it will not be run now. Look the "
               "result up in the application before sending it with a new key.",
               RunState::kUnknown, std::nullopt};
}

Error answerNotKept() {
  return Error{ErrorKind::kConflict,
               "The request ran before, but its answer was too large to keep. Look the result up "
               "in the application.",
               RunState::kRan, std::nullopt};
}

}  // namespace fernmoor::claimRefusal
