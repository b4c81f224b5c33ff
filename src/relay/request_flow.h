/// @file
/// The life of one request across its attempts: when to dispatch, resume, go elsewhere, deliver,
/// finish and refuse. States and transitions are those of charts/request.scxml and
/// charts/attempt.scxml, which it interprets; spec/stream.pml checks the rules. Holds no sockets,
/// clocks or threads.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "relay/flow_action.h"
#include "relay/request_life.h"

namespace fernmoor {

/// Bounds of one request.
struct FlowLimits {
  Duration deadline{30000000};          ///< From the start to the last byte.
  Duration firstFrameTimeout{5000000};  ///< An attempt without any frame counts as stalled then.
  Duration stallTimeout{1000000};       ///< Likewise since its last frame.
  int64_t maxAttempts = 3;              ///< Engines that may be given the request, one at a time.
  int64_t maxMisplacements = 4;         ///< Refusals for a stale placement that cost no attempt.
  bool repeatable = true;        ///< False: never dispatched again unless it certainly did not run.
  int64_t maxTokens = 16;        ///< Longest answer; an answer of this length is complete.
  Duration retryAfter{1000000};  ///< Told to a refused caller; spread it between callers.
};

/// A frame as an engine sent it.
struct StreamFrame {
  int64_t position = 0;  ///< Of the first token, counted over the whole answer.
  int64_t tokens = 0;
  std::string text;
  bool end = false;  ///< Nothing comes after this frame; position + tokens is the whole length.
};

/// Decides for one request. Not thread-safe: its driver calls it under the request's own lock and
/// carries out the returned actions in order, without that lock.
class RequestFlow {
 public:
  RequestFlow(FlowLimits limits, Time start);

  /// @return the first action; call it once, before anything else.
  FlowActions begin();
  /// Takes over an attempt that another node dispatched, for a caller that has `position` tokens.
  /// Instead of begin(). Nothing is dispatched later: prompt and earlier text are not known here.
  FlowActions adopt(const Placement& placement, const AttemptId& attempt, int64_t position,
                    Time now);

  /// An engine was chosen. @param attempt an id that was never used before.
  FlowActions onPlaced(const Placement& placement, const AttemptId& attempt, Time now);
  /// No engine can be had: the caller gets this error.
  FlowActions onPlacementRefused(const Error& error, Time now);
  /// A frame came. Frames of any but the present attempt are dropped.
  FlowActions onFrame(const AttemptId& attempt, const StreamFrame& frame, Time now);
  /// An attempt's connection broke, or the engine answered with an error.
  /// @param error runState kNotRun only where no byte went out or the engine said so; of an error
  ///     in answer to a resume the run state is not believed.
  FlowActions onAttemptFailed(const AttemptId& attempt, const Error& error, Time now);
  /// Time passed. Call it at nextDeadline() or oftener.
  FlowActions onTick(Time now);
  /// The caller went away.
  FlowActions onCallerGone(Time now);

  /// @return when onTick() will next have something to do; none once the request has ended.
  std::optional<Time> nextDeadline() const;
  /// @return true once the caller has its final answer or is gone.
  bool done() const;
  RequestState state() const { return life_.state(); }
  /// @return state of the latest attempt; none before the first.
  std::optional<AttemptState> attemptState() const;
  int64_t deliveredTokens() const { return delivered_; }
  /// @return what this flow delivered; of an adopted stream only the part since then.
  const std::string& deliveredText() const { return deliveredText_; }
  /// @return attempts dispatched so far.
  int64_t dispatchCount() const { return dispatches_; }

 private:
  struct Attempt {
    AttemptId id;
    Placement placement;
    AttemptLife life;
    Time lastProgress;
    bool hasBroughtFrames = false;
  };

  bool isCurrent(const AttemptId& attempt) const;
  Duration patience() const;
  void deliver(const StreamFrame& frame, Time now, FlowActions& actions);
  void finish(FlowActions& actions);
  void interrupt(Time now, FlowActions& actions);
  void giveUpAttempt(FlowActions& actions);
  void placeAgain(FlowActions& actions);
  void refuse(Error error, FlowActions& actions);
  void onAttemptRefused(const Error& error, FlowActions& actions);
  bool isPlausible(const StreamFrame& frame) const;
  bool mayDispatchAgain() const;
  RunState runState() const;
  Error timeoutError() const;
  Error exhaustedError() const;

  FlowLimits limits_;
  Time end_;
  RequestLife life_;
  std::optional<Attempt> attempt_;
  std::vector<EngineId> failedEngines_;
  int64_t dispatches_ = 0;
  int64_t countedAttempts_ = 0;
  int64_t misplacements_ = 0;
  bool adopted_ = false;     ///< The request itself is not known here, only its stream.
  bool mayHaveRun_ = false;  ///< Some attempt was dispatched and not certainly refused.
  int64_t delivered_ = 0;
  std::string deliveredText_;
};

}  // namespace fernmoor
