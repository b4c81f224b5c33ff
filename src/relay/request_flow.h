/// @file
/// Control logic of one request across its attempts: decides when to dispatch, resume, retry on
/// another engine, deliver, finish and reject. It interprets the state charts charts/request.scxml
/// and charts/attempt.scxml; spec/stream.pml checks the rules. Uses no sockets, clocks or threads.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "relay/flow_action.h"
#include "relay/request_life.h"

namespace fernmoor {

/// Limits of one request.
struct FlowLimits {
  Duration deadline{30000000};          ///< Time from the start to the last byte.
  Duration firstFrameTimeout{5000000};  ///< Until the first frame; then the attempt has stalled.
  Duration stallTimeout{1000000};       ///< Since the last new frame; then the attempt has stalled.
  int64_t maxAttempts = 3;              ///< Dispatches of the request, one at a time.
  int64_t maxStalePlacements = 4;       ///< Rejections of stale placements not counted as attempts.
  bool repeatable = true;        ///< False: dispatched again only if it certainly did not run.
  int64_t maxTokens = 16;        ///< An answer of this length is complete.
  Duration retryAfter{1000000};  ///< For a rejected caller; add jitter between callers.
};

/// A frame as received from an engine.
struct StreamFrame {
  int64_t position = 0;  ///< Of the first token, counted from the start of the answer.
  int64_t tokens = 0;
  std::string text;
  bool end = false;  ///< The last frame; position + tokens is the length of the answer.
};

/// Controls one request. Not thread-safe: the driver calls it with the request's own lock held and
/// executes the returned actions in order after it releases the lock.
class RequestFlow {
 public:
  RequestFlow(FlowLimits limits, Time start);

  /// Starts the request. Call it once, before any other method.
  /// @return the first action.
  FlowActions begin();
  /// Replaces begin() to take over an attempt that another node dispatched, for a caller that
  /// already has `position` tokens. The request is never dispatched again, because the prompt and
  /// the earlier text are unknown here.
  FlowActions adopt(const Placement& placement, const AttemptId& attempt, int64_t position,
                    Time now);

  /// Reports the chosen engine. @param attempt an id that was never used before.
  FlowActions onPlaced(const Placement& placement, const AttemptId& attempt, Time now);
  /// Reports that no engine is available: the caller gets this error.
  FlowActions onPlacementRefused(const Error& error, Time now);
  /// Handles a frame. Frames of any but the current attempt are dropped.
  FlowActions onFrame(const AttemptId& attempt, const StreamFrame& frame, Time now);
  /// Handles a broken connection or an error answer from the engine.
  /// @param error may have runState kNotRun only if no byte was sent or the engine said so. The run
  ///     state of an error in answer to a resume is ignored.
  FlowActions onAttemptFailed(const AttemptId& attempt, const Error& error, Time now);
  /// Handles timeouts. Call it at nextDeadline() or more often.
  FlowActions onTick(Time now);
  /// Handles the caller's disconnection.
  FlowActions onCallerGone(Time now);

  /// @return when onTick() is next due; none once the request has ended.
  std::optional<Time> nextDeadline() const;
  /// @return true once the caller has its final answer or has disconnected.
  bool done() const;
  RequestState state() const { return machine_.state(); }
  /// @return the state of the latest attempt; none before the first.
  std::optional<AttemptState> attemptState() const;
  int64_t deliveredTokens() const { return delivered_; }
  /// @return the text that this flow delivered; for an adopted stream, without the earlier text.
  const std::string& deliveredText() const { return deliveredText_; }
  /// @return the number of attempts dispatched so far.
  int64_t dispatchCount() const { return dispatches_; }

 private:
  struct Attempt {
    AttemptId id;
    Placement placement;
    AttemptStateMachine machine;
    Time lastProgress;
    bool hasReceivedFrames = false;
  };

  bool isCurrent(const AttemptId& attempt) const;
  Duration progressTimeout() const;
  void deliver(const StreamFrame& frame, Time now, FlowActions& actions);
  void finish(FlowActions& actions);
  void resumeOrGiveUp(Time now, FlowActions& actions);
  void giveUpAttempt(FlowActions& actions);
  void retryPlacement(FlowActions& actions);
  void refuse(Error error, FlowActions& actions);
  void onAttemptRefused(const Error& error, FlowActions& actions);
  bool isPlausible(const StreamFrame& frame) const;
  bool mayDispatchAgain() const;
  RunState runState() const;
  Error timeoutError() const;
  Error exhaustedError() const;

  FlowLimits limits_;
  Time end_;
  RequestStateMachine machine_;
  std::optional<Attempt> attempt_;
  std::vector<EngineId> failedEngines_;
  int64_t dispatches_ = 0;
  int64_t countedAttempts_ = 0;
  int64_t stalePlacements_ = 0;
  bool adopted_ = false;     ///< Taken over from another node; the request itself is unknown.
  bool mayHaveRun_ = false;  ///< Some attempt may have been executed by an engine.
  int64_t delivered_ = 0;
  std::string deliveredText_;
};

}  // namespace fernmoor
