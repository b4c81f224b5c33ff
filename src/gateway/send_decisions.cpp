#include "gateway/send_decisions.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// Part of its target for which a request may wait before its prompt is read; the rest is for the
/// reading and for what the estimate misses. The reading itself does not count: large prompts would
/// never be served.
constexpr int kMostWaitPercent = 40;
/// A silent engine is left after so many times what was expected of it: estimates are off by a
/// factor of two on busy engines, and a second reading makes these busier.
constexpr int kPatienceFactor = 3;
constexpr Duration kLeastPatience{600000};
/// Part of its time after which a request without an estimate is sent elsewhere.
constexpr int kPatienceDivisor = 2;
constexpr Duration kRetryAfterBusy{250000};
/// Of the most urgent requests, for a permit of an engine that is at its limit.
constexpr Duration kLongestPermitWait{300000};
constexpr Duration kRetryAfterStale{500000};
constexpr Duration kLeastRetryAfter{50000};

}  // namespace

bool canBeInTime(const IncomingRequest& request, const ExpectedTimes& expected, Time now) {
  const Duration waited = now - request.arrivedAt;
  return waited + expected.wait <= request.row->target * kMostWaitPercent / 100;
}

Duration longestPermitWait(const IncomingRequest& request, int urgency, bool mayBeRefused,
                           Time now) {
  const Duration ofUrgency = kLongestPermitWait / (int64_t{1} << urgency);
  const Duration inTime =
      mayBeRefused ? request.arrivedAt + request.row->target * kMostWaitPercent / 100 - now
                   : request.deadline - now;
  return std::max(Duration(0), std::min(ofUrgency, inTime));
}

Duration patienceWith(const IncomingRequest& request, std::optional<Duration> expectedFirstEvent,
                      Duration most) {
  if (expectedFirstEvent) {
    return std::max(kLeastPatience, *expectedFirstEvent * kPatienceFactor);
  }
  return std::min(most, (request.deadline - request.arrivedAt) / kPatienceDivisor);
}

Error givenUpError(const GivenUp& request) {
  if (request.mayHaveRun) {
    return Error{request.isLate ? ErrorKind::kTimeout : ErrorKind::kOutcomeUnknown,
                 "no whole answer came from the back end; ask for the outcome before retrying.",
                 RunState::kUnknown, std::nullopt};
  }
  return Error{ErrorKind::kOverloaded,
               "no back end could take the request; come back after the time given.",
               RunState::kNotRun,
               std::max(kRetryAfterBusy, request.expectedFirstEvent.value_or(Duration(0)) / 2)};
}

Error unpermittedError(Duration comeBack) {
  return Error{ErrorKind::kOverloaded,
               "all back ends are at the limits that they state, or rest as they asked; come back "
               "after the time given.",
               RunState::kNotRun, std::max(kLeastRetryAfter, comeBack)};
}

Error quarantinedError(Duration left) {
  return Error{ErrorKind::kQuarantined,
               "this request crashed several engines and is not sent on; change it, or come back "
               "when an operator has lifted its quarantine.",
               RunState::kNotRun, left};
}

Error unprovenKeyError(bool mayHaveRun) {
  return Error{
      mayHaveRun ? ErrorKind::kOutcomeUnknown : ErrorKind::kUnavailable,
      "this node cannot prove that the key is still valid; come back after the time given.",
      mayHaveRun ? RunState::kUnknown : RunState::kNotRun, kRetryAfterStale};
}

}  // namespace fernmoor::gateway
