#include "gateway/send_decisions.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// A silent engine is abandoned after this many times the expected time to the first event.
/// Estimates are off by a factor of two on busy engines, and reading a prompt a second time adds to
/// their load.
constexpr int kSilenceLimitFactor = 3;
constexpr Duration kMinSilenceLimit{600000};
/// A request without an estimate leaves a silent back end after its total time divided by this.
constexpr int kSilenceLimitDivisor = 2;
/// How long the most urgent requests wait for a permit of an engine at its limit (300 ms).
constexpr Duration kMaxPermitWait{300000};
/// Engines are silent for about a second at times.
constexpr Duration kMaxQuietBeforeReuse{1000000};
constexpr Duration kRetryAfterUnverifiedKey{500000};
constexpr Duration kMinRetryAfterNoPermit{50000};

}  // namespace

Duration longestQueueWait(const IncomingRequest& request, Time now) {
  const Duration waited = now - request.arrivedAt;
  return std::max(Duration(0), maxQueueWait(request.row->target) - waited);
}

bool canBeInTime(const IncomingRequest& request, const ExpectedTimes& expected, Time now) {
  const Duration waited = now - request.arrivedAt;
  return waited + expected.wait <= maxQueueWait(request.row->target);
}

Duration longestPermitWait(const IncomingRequest& request, int urgency, bool mayBeRefused,
                           Time now) {
  const Duration ofUrgency = kMaxPermitWait / (int64_t{1} << urgency);
  const Duration inTime = mayBeRefused ? request.arrivedAt + maxQueueWait(request.row->target) - now
                                       : request.deadline - now;
  return std::max(Duration(0), std::min(ofUrgency, inTime));
}

Duration silenceLimit(const IncomingRequest& request, std::optional<Duration> expectedFirstEvent,
                      Duration most) {
  if (expectedFirstEvent) {
    return std::max(kMinSilenceLimit, *expectedFirstEvent * kSilenceLimitFactor);
  }
  return std::min(most, (request.deadline - request.arrivedAt) / kSilenceLimitDivisor);
}

Error givenUpError(const GivenUp& request) {
  if (request.mayHaveRun) {
    return Error{request.isLate ? ErrorKind::kTimeout : ErrorKind::kOutcomeUnknown,
                 "no whole answer came from the back end; ask for the outcome before retrying.",
                 RunState::kUnknown, std::nullopt};
  }
  Duration retryAfter = request.returnAfter.value_or(
      returnWhenBusy(request.expectedFirstEvent.value_or(Duration(0))));
  if (request.timeLeft) {
    retryAfter = boundedReturn(retryAfter, *request.timeLeft);
  }
  return Error{ErrorKind::kOverloaded,
               "no back end could take the request; come back after the time given.",
               RunState::kNotRun, retryAfter};
}

Error unpermittedError(Duration retryAfter) {
  return Error{ErrorKind::kOverloaded,
               "all back ends are at the limits that they state, or rest as they asked; come back "
               "after the time given.",
               RunState::kNotRun, std::max(kMinRetryAfterNoPermit, retryAfter)};
}

Error quarantinedError(Duration left) {
  return Error{ErrorKind::kQuarantined,
               "this request, or a part of its prompt, crashed several engines and is not sent on; "
               "change it, or come back when an operator has lifted the quarantine.",
               RunState::kNotRun, left};
}

Error partitionedError() {
  return Error{ErrorKind::kUnavailable, "this node reaches no engine; ask another one.",
               RunState::kNotRun, kRetryAfterOtherNode};
}

Error unknownSoftwareError() {
  return Error{ErrorKind::kUnavailable,
               "this node does not know which software version began the stream; ask another node, "
               "or start the stream anew.",
               RunState::kNotRun, kRetryAfterOtherNode};
}

bool mayReuseConnection(const IncomingRequest& request, Duration sinceProof) {
  return request.isRepeatable() || sinceProof <= kMaxQuietBeforeReuse;
}

Error unverifiedKeyError(bool mayHaveRun, bool cameFromPeer) {
  return Error{
      mayHaveRun ? ErrorKind::kOutcomeUnknown : ErrorKind::kUnavailable,
      "this node cannot prove that the key is still valid; come back after the time given.",
      mayHaveRun ? RunState::kUnknown : RunState::kNotRun,
      cameFromPeer ? kRetryAfterOtherNode : kRetryAfterUnverifiedKey};
}

}  // namespace fernmoor::gateway
