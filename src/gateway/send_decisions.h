/// @file
/// Stateless decisions about sending a request: whether it is sent at all, how long its back end
/// may be silent, and which error its caller receives.
#pragma once

#include <optional>

#include "common/error.h"
#include "common/time.h"
#include "gateway/incoming_request.h"
#include "gateway/wait_policy.h"

namespace fernmoor::gateway {

/// A request with less time than this left before its deadline is not sent (5 ms).
inline constexpr Duration kMinTimeToSend{5000};

/// Used for pools whose capacity is not stated; decideWait() decides for the others.
/// @return whether a request that was not sent yet can meet its target at a back end with these
///         expected times. One that can't would only delay others that can.
bool canBeInTime(const IncomingRequest& request, const ExpectedTimes& expected, Time now);

/// @return how long a request that was not sent yet may wait before its prompt is read, so that it
///         can meet its target.
Duration longestQueueWait(const IncomingRequest& request, Time now);

/// @param urgency 0 is the most urgent; each step halves the wait, so that more urgent requests
///        find shorter queues.
/// @param mayBeRefused the request was not sent yet, so the wait must leave time to meet its
///        target; otherwise the wait is bounded by the deadline only.
/// @return how long a request may wait for an engine that has reached the limit it states.
Duration longestPermitWait(const IncomingRequest& request, int urgency, bool mayBeRefused,
                           Time now);

/// @param expectedFirstEvent time from the send to the first event; std::nullopt if unknown or if
///        that event has arrived.
/// @param most upper bound if `expectedFirstEvent` is not set.
/// @return how long a back end may be silent before the request is retried at another one, if it
///         may be retried.
Duration silenceLimit(const IncomingRequest& request, std::optional<Duration> expectedFirstEvent,
                      Duration most);

/// State of a request for which no further back end may be tried.
struct GivenUp {
  bool mayHaveRun = false;
  bool isLate = false;  ///< Its deadline has passed.
  /// Expected time to its first event, if it was not sent because that is too long.
  std::optional<Duration> expectedFirstEvent = std::nullopt;
  std::optional<Duration> returnAfter = std::nullopt;  ///< As decided by decideWait().
  std::optional<Duration> timeLeft = std::nullopt;     ///< Until its deadline; nothing: ample.
};

/// @return the error for its caller. Only for a request that has not run it states so and includes
///         a retry time.
Error givenUpError(const GivenUp& request);

/// @param retryAfter time after which the caller should retry.
/// @return the error if all engines have reached the limits they state, or are resting.
Error unpermittedError(Duration retryAfter);

/// @param left remaining time of the quarantine.
/// @return the error for a request that is quarantined because it crashes engines.
Error quarantinedError(Duration left);

/// Retry-After when another node can serve the request immediately.
inline constexpr Duration kRetryAfterOtherNode{20000};

/// @return the error of a node that reaches no engine for a request that another node handed to it.
Error partitionedError();

/// @param sinceProof time since an engine took a connection or sent data.
/// @return the error for a caller that takes up a stream of which this node can't find out the
///         software version that began it.
Error unknownSoftwareError();

/// @return whether the request may use an established connection. If nothing arrived for long, the
///         links may be lost without a sign: a new connection shows that before the request is
///         sent, an established one only after, when the request may have run.
bool mayReuseConnection(const IncomingRequest& request, Duration sinceProof);

/// @param cameFromPeer another node handed the request on, and may ask the next one at once.
/// @return the error if this node cannot verify that the caller's key is still valid.
Error unverifiedKeyError(bool mayHaveRun, bool cameFromPeer);

}  // namespace fernmoor::gateway
