/// @file
/// History of one request for its log line: each back end that it was sent to, the load by which
/// that back end was chosen, and how the attempt ended. It is freed with the request, and its text
/// is composed only if a line is written.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/wait_policy.h"

namespace fernmoor::gateway {

/// How an attempt at a back end ended.
enum class AttemptEnd {
  kUnderWay,      ///< Still in progress.
  kServed,        ///< A complete answer.
  kFailed,        ///< A complete answer that reports an error.
  kRejected,      ///< The back end stated that it did not run the request.
  kNotReached,    ///< No connection; nothing was sent.
  kTooLate,       ///< The time for the send ended before the connection was open; nothing was sent.
  kUnwanted,      ///< The back end announced a drain or a rest meanwhile; nothing was sent.
  kUnsendable,    ///< A header would end its line early; nothing was sent.
  kBroken,        ///< The connection or the answer broke.
  kCrashed,       ///< As kBroken, and the back end no longer accepts connections.
  kNotReachable,  ///< As kBroken, and neither that back end nor others can be reached.
  kSilent,        ///< The back end sent nothing for too long.
  kOtherSoftware,  ///< It may run other software than the stream is bound to.
  kWithdrawn,      ///< Not begun shortly before newer weights became mandatory.
  kCallerLeft,     ///< The caller disconnected.
  kNotRead,        ///< The caller did not read the answer.
  kCutOff,         ///< As kBroken, at an answer that this node or its caller had left unread.
};

/// One attempt.
struct TrailEntry {
  std::string backend;
  std::string software;        ///< Version of the back end's software; empty: unknown.
  int inFlight = 0;            ///< Requests of this node there when it was chosen.
  uint64_t pendingTokens = 0;  ///< Prompt tokens not yet read there when it was chosen.
  uint64_t weights = 0;        ///< Version the back end was expected to hold; 0: none.
  uint64_t lowestWeights = 0;  ///< Lowest version that was acceptable; 0: any.
  std::optional<Duration> expectedFirstEvent;  ///< Counted from the send, if known.
  /// Time from the send until no request may begin on `weights`; empty: no newer version is named.
  std::optional<Duration> boundLeft;
  bool isSentLate = false;  ///< Sent as the least urgent, as its answer was expected late.
  Duration permitWait{};    ///< Wait before the send because the back end states a rate limit.
  Duration sentAfter{};     ///< Time of the send, counted from the request's arrival.
  Duration endedAfter{};    ///< Time of the end, counted from the request's arrival.
  AttemptEnd end = AttemptEnd::kUnderWay;
  int status = 0;   ///< HTTP status of a back end that rejected it; 0: not recorded.
  Duration rest{};  ///< Time for which the back end asked for no further requests.
};

/// Not thread-safe; owned by one request.
class RequestTrail {
 public:
  /// Records that the caller takes up a stream that began in an answer to an earlier request.
  /// @param stream id of that request; empty: the caller did not name it.
  /// @param after id of the last event that the caller has.
  void noteTakeUp(const std::string& stream, const std::string& after);
  void begin(TrailEntry entry) { entries_.push_back(std::move(entry)); }
  /// Records the end of the last attempt; later calls for the same attempt are ignored.
  void end(AttemptEnd end, Duration after);
  /// Records the HTTP status of the answer to the last attempt.
  void noteStatus(int status);
  /// Records the rest that the back end of the last attempt asked for.
  void noteRest(Duration rest);
  /// Records that all back ends had reached the limits they state, or were resting.
  /// @param due time until one of them accepts a request.
  void noteUnpermitted(Duration due) { permitDue_ = due; }
  /// Records that the request was not sent because of the wait at the chosen back end.
  /// @param firstEvent expected time to the first event there.
  void noteRefusal(const WaitVerdict& verdict, Duration firstEvent);
  bool isEmpty() const { return entries_.empty(); }

  /// @return one phrase per attempt, behind one for a stream that is taken up, e.g. "takes up
  ///         stream 9c41 after event 12; i-7f3 (software v1.2, weights 4, lowest 3, bound ends in
  ///         900 ms, 3 running, 5200 tokens waiting, first event expected in 210 ms) at 12 ms broke
  ///         off after 143 ms", joined by "; ".
  std::string text() const;

 private:
  std::vector<TrailEntry> entries_;
  std::string takeUp_;
  std::optional<Duration> permitDue_;
  std::string refusal_;
};

}  // namespace fernmoor::gateway
