/// @file
/// What a request met on its way, for the one log line that explains it: each back end that it was
/// sent to, the load by which that one was chosen, and how the attempt ended. Costs no memory
/// beyond the request, and no text unless a line is written.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace fernmoor::gateway {

/// How an attempt at a back end ended.
enum class AttemptEnd {
  kUnderWay,    ///< Not ended yet.
  kServed,      ///< A whole answer.
  kFailed,      ///< A whole answer that states a failure.
  kTurnedAway,  ///< The back end vouched that it did not run the request.
  kNotReached,  ///< No connection; nothing was sent.
  kTooLate,     ///< Its time was over when there was a connection; nothing was sent.
  kUnwanted,    ///< The back end said meanwhile that it leaves or rests; nothing was sent.
  kBroken,      ///< The connection or the answer broke.
  kCrashed,     ///< It broke, and the back end takes no connections any more.
  kSilent,      ///< No word for too long.
  kTakenBack,   ///< It had not begun shortly before the bound of newer weights.
  kCallerLeft,  ///< The caller left meanwhile.
};

/// One attempt.
struct TrailEntry {
  std::string backend;
  int inFlight = 0;            ///< This node's requests there when it was chosen.
  uint64_t pendingTokens = 0;  ///< Their prompt tokens that were not read yet.
  uint64_t weights = 0;        ///< Version that the back end was expected to hold; 0: none.
  uint64_t lowestWeights = 0;  ///< Lowest version that it might have held; 0: any.
  std::optional<Duration> expectedFirstEvent;  ///< From the send, where it was known.
  /// From the send until nothing may begin on `weights` any more; nothing: no newer ones are named.
  std::optional<Duration> boundLeft;
  Duration permitWait{};  ///< For which it waited before, as the back end states a limit.
  Duration sentAfter{};   ///< From the request's arrival.
  Duration endedAfter{};  ///< From the request's arrival.
  AttemptEnd end = AttemptEnd::kUnderWay;
  int status = 0;   ///< Of a back end that turned it away; 0: not noted.
  Duration rest{};  ///< For which the back end wants no further request.
};

/// Not thread-safe; belongs to one request.
class RequestTrail {
 public:
  void begin(TrailEntry entry) { entries_.push_back(std::move(entry)); }
  /// Notes the end of the last attempt; only the first end counts.
  void end(AttemptEnd end, Duration after);
  /// Notes the status that the last attempt was answered with.
  void noteStatus(int status);
  /// Notes the rest that the last attempt's back end asked for.
  void noteRest(Duration rest);
  /// Notes that all back ends were at the limits that they state, or rested.
  /// @param due until one of them takes a request.
  void noteUnpermitted(Duration due) { permitDue_ = due; }
  bool isEmpty() const { return entries_.empty(); }

  /// @return one phrase an attempt, e.g. "i-7f3 (weights 4, lowest 3, bound ends in 900 ms,
  ///         3 running, 5200 tokens waiting, first event expected in 210 ms) at 12 ms broke off
  ///         after 143 ms", joined by "; ".
  std::string text() const;

 private:
  std::vector<TrailEntry> entries_;
  std::optional<Duration> permitDue_;
};

}  // namespace fernmoor::gateway
