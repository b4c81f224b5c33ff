/// @file
/// Decides whether a request that an engine cannot begin at once is sent, sent as less urgent
/// although its answer will be late, or refused at once. Plain functions: no clock, no state.
///
/// A refused caller returns once, when it was told to but after at most a third of the time that it
/// has left, with a new request id and mostly at another node. A refusal therefore pays only if the
/// caller has time to return and be served; otherwise it is the caller's last answer.
#pragma once

#include <optional>

#include "common/time.h"

namespace fernmoor::gateway {

/// A caller waits at most its remaining time divided by this before it returns; it needs the rest
/// for its answer.
inline constexpr int kMaxReturnDivisor = 3;
/// Shortest return time that is told to a caller because engines are busy (250 ms).
inline constexpr Duration kMinReturnWhenBusy{250000};
/// Shortest return time that is told at all, also to a caller without time left (20 ms).
inline constexpr Duration kMinReturn{20000};

enum class WaitDecision {
  kSend,
  kSendLate,        ///< Send as the least urgent: its answer is expected after the target.
  kRefuse,          ///< Refuse; the caller should return when capacity is expected.
  kRefuseHopeless,  ///< Refuse: it cannot be served before its deadline.
};

/// What the node that counts for the chosen engine said of the request.
enum class ClaimState {
  kUnknown,     ///< Nothing about capacity: its release does not account for it.
  kGranted,     ///< The request is counted.
  kTurnedAway,  ///< No capacity for it within its wait limit, at its urgency.
  kReserved,    ///< It is a retry, and the capacity reserved for it was assigned to it.
};

/// Expected times of a request at an engine.
struct ExpectedTimes {
  Duration wait{0};        ///< From now until reading of its prompt starts.
  Duration firstEvent{0};  ///< From now.
};

struct WaitInput {
  Duration target{0};        ///< Of its row, from arrival to the first event.
  Duration timeout{0};       ///< Of its row, from the caller's first attempt to the last byte.
  Duration waited{0};        ///< Since the arrival of this attempt.
  Duration left{0};          ///< Until its deadline.
  bool mayBeRefused = true;  ///< It was not sent yet and takes up no stream.
  std::optional<ExpectedTimes> expected;  ///< At the chosen engine; nothing: unknown.
  ClaimState claim = ClaimState::kUnknown;
  /// The engine has capacity for it, as the least urgent, that no other request needs.
  bool hasSpareCapacity = false;
  /// Time until capacity that is reserved for its retry is free; nothing: none is reserved.
  std::optional<Duration> reservedIn;
};

struct WaitVerdict {
  WaitDecision decision = WaitDecision::kSend;
  Duration returnAfter{0};  ///< If refused: what the caller is told.

  bool isRefused() const {
    return decision == WaitDecision::kRefuse || decision == WaitDecision::kRefuseHopeless;
  }
};

WaitVerdict decideWait(const WaitInput& input);

/// @return how long a request with this target may wait before its prompt is read, from its
///         arrival, if it can be retried in time.
Duration maxQueueWait(Duration target);

/// @param firstEvent expected time to the first event.
/// @return when a refused caller should return if no capacity is reserved for it.
Duration returnWhenBusy(Duration firstEvent);

/// @param wanted when the caller should return.
/// @param left time until its deadline.
/// @return the time told to the caller, so that it can still be served when it returns.
Duration boundedReturn(Duration wanted, Duration left);

}  // namespace fernmoor::gateway
