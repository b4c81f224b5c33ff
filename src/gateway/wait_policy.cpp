#include "gateway/wait_policy.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// Share of its target (in percent) for which a request may wait before its prompt is read; the
/// rest is left for reading the prompt and for errors of the estimate. The estimated reading time
/// is not counted against the target, since large prompts would never be served then.
constexpr int kMaxQueueWaitPercent = 40;
/// Estimates of the reading time are off by a factor of two on busy engines. A request is hopeless
/// only if it misses its deadline even when the estimate is that much too long.
constexpr int kReadingErrorFactor = 2;
/// A caller that states at least this much less than the row's timeout (50 ms) may have been
/// refused before. Messages and rounding account for a few milliseconds.
constexpr Duration kMinUsedByRetry{50000};

/// What a refused caller can expect.
struct Return {
  Duration after{0};      ///< What it is told.
  bool isServed = false;  ///< It is expected to be served before its deadline.
  bool meetsTarget = false;
};

/// @return the time that the caller has used, an earlier attempt included as far as its deadline
///         shows it.
Duration usedOf(const WaitInput& input) {
  return std::max(input.waited, input.timeout - input.left);
}

Return expectReturn(const WaitInput& input) {
  const Duration reading = input.expected->firstEvent - input.expected->wait;
  Return expected;
  const Duration soonest = input.reservedIn.value_or(returnWhenBusy(input.expected->firstEvent));
  expected.after = boundedReturn(soonest, input.left);
  // Callers return once, so that a second refusal would be the last.
  const bool mayHaveReturned = usedOf(input) - input.waited >= kMinUsedByRetry;
  if (mayHaveReturned || expected.after < soonest) {
    return expected;
  }
  // Without a reservation it meets what is left of the queue, as a first attempt.
  const Duration waitThen =
      input.reservedIn ? Duration(0) : std::max(Duration(0), input.expected->wait - expected.after);
  const Duration firstEvent = expected.after + waitThen + reading;
  expected.isServed = waitThen <= maxQueueWait(input.target) && firstEvent <= input.left;
  expected.meetsTarget = expected.isServed && usedOf(input) + firstEvent <= input.target;
  return expected;
}

}  // namespace

Duration maxQueueWait(Duration target) {
  return target * kMaxQueueWaitPercent / 100;
}

Duration returnWhenBusy(Duration firstEvent) {
  return std::max(kMinReturnWhenBusy, firstEvent / 2);
}

Duration boundedReturn(Duration wanted, Duration left) {
  return std::max(kMinReturn, std::min(wanted, left / kMaxReturnDivisor));
}

WaitVerdict decideWait(const WaitInput& input) {
  if (!input.mayBeRefused || !input.expected) {
    return WaitVerdict{};
  }
  const Duration wait = input.expected->wait;
  const Duration reading = input.expected->firstEvent - wait;
  const bool startsAtOnce = wait <= Duration(0);  // No return would be served earlier.
  const Return onReturn = expectReturn(input);
  if (wait + reading / kReadingErrorFactor > input.left) {
    return WaitVerdict{WaitDecision::kRefuseHopeless, onReturn.after};
  }
  if (input.claim == ClaimState::kReserved) {
    return WaitVerdict{};
  }
  if (input.claim != ClaimState::kTurnedAway) {
    const bool waitsBriefly = input.waited + wait <= maxQueueWait(input.target);
    const bool meetsTarget = usedOf(input) + input.expected->firstEvent <= input.target;
    if (waitsBriefly || (meetsTarget && (startsAtOnce || !onReturn.meetsTarget))) {
      return WaitVerdict{};
    }
  }
  if (input.hasSpareCapacity && (startsAtOnce || !onReturn.isServed)) {
    return WaitVerdict{WaitDecision::kSendLate, Duration(0)};
  }
  return WaitVerdict{WaitDecision::kRefuse, onReturn.after};
}

}  // namespace fernmoor::gateway
