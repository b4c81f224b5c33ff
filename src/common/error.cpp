#include "common/error.h"

namespace fernmoor {

const char* toString(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidRequest:
      return "invalid_request";
    case ErrorKind::kUnauthorized:
      return "unauthorized";
    case ErrorKind::kForbidden:
      return "forbidden";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kTimeout:
      return "timeout";
    case ErrorKind::kCallerTooSlow:
      return "caller_too_slow";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kTooLarge:
      return "too_large";
    case ErrorKind::kRateLimited:
      return "rate_limited";
    case ErrorKind::kOverloaded:
      return "overloaded";
    case ErrorKind::kDraining:
      return "draining";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kWrongIncarnation:
      return "wrong_incarnation";
    case ErrorKind::kWrongWeights:
      return "wrong_weights";
    case ErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorKind::kQuarantined:
      return "quarantined";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

const char* toString(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRan:
      return "ran";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::ostream& operator<<(std::ostream& out, const Error& error) {
  return out << toString(error.kind) << ": " << error.message << " (" << toString(error.runState)
             << ")";
}

}  // namespace fernmoor
