/// @file
/// Executes the actions of one request's RequestFlow on real engine streams, on the calling thread.
#pragma once

#include <Poco/Net/Socket.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "common/time.h"
#include "engine/engine_client.h"
#include "relay/request_flow.h"
#include "relay/request_record.h"

namespace fernmoor {

/// An admitted model request that is ready to be placed on an engine.
struct RelayRequest {
  RequestId id;
  TenantId tenant;
  ModelId model;
  AdapterId adapter;
  int64_t priority = 5;
  std::string prompt;
  int64_t maxTokens = 16;
};

/// A placement and the data that explains it.
struct PlacedAttempt {
  Placement placement;
  std::string reason;
  double expectedSeconds = 0;
  std::vector<ConsideredEngine> considered;
};

/// Chooses engines for one request. Called on the request's thread.
class EnginePlacer {
 public:
  virtual ~EnginePlacer() = default;
  /// @param excluded engines that already failed this request; chosen only if there is no other.
  virtual Result<PlacedAttempt> place(const std::vector<EngineId>& excluded) = 0;
  /// Reports that an engine failed or rejected the request and should not be chosen again soon.
  virtual void reportFailure(const Placement& placement, const Error& error) = 0;
  /// Reports how much of the prompt the engine had cached, as stated in its first frame.
  virtual void reportCacheHit(const Placement& placement, const AttemptFrame& firstFrame) = 0;
  /// Reports that an attempt no longer occupies the engine, for whatever reason. Called once for
  /// each dispatch.
  virtual void reportEnded(const Placement& placement) = 0;
};

/// Receives the answer for the caller. Called on the request's thread. The methods that send return
/// false if the caller has disconnected.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  /// Called with an attempt's first frame, before its first text.
  virtual bool attemptStarted(const AttemptId& attempt, const Placement& placement,
                              const AttemptFrame& firstFrame) = 0;
  virtual bool text(int64_t position, int64_t tokens, const std::string& text) = 0;
  virtual bool finish(int64_t totalTokens) = 0;
  virtual bool refuse(const Error& error) = 0;
  /// @return the caller's socket, watched for disconnection; null if it cannot be watched.
  virtual const Poco::Net::Socket* callerSocket() = 0;
  /// Called when that socket becomes readable. @return true if the caller closed it.
  virtual bool callerGone() = 0;
};

class StreamRelay {
 public:
  StreamRelay(EngineClient& engines, const Clock& clock, EnginePlacer& placer, AnswerSink& sink,
              RelayRequest request, FlowLimits limits);

  /// Runs the request until it ends.
  /// @param record receives the fields that are known here.
  void run(RequestRecord& record);

  /// Takes over an attempt that may have been dispatched by another node, and runs it until it
  /// ends.
  void runAdopted(const Placement& placement, const AttemptId& attempt, int64_t position,
                  RequestRecord& record);

 private:
  void pump(FlowActions first);
  void execute(const FlowAction& action);
  void place(const Place& action);
  void dispatch(const Dispatch& action);
  void resume(const Resume& action);
  void openStream(const AttemptId& attempt, const Placement& placement,
                  Result<std::unique_ptr<AttemptStream>> opened);
  void cancel(const CancelAttempt& action);
  void deliver(const DeliverText& action);
  void refuse(const Refuse& action);
  void readOnce();
  void onFrame(const AttemptFrame& frame);
  void onAttemptFailed(const AttemptId& attempt, const Placement& placement, const Error& error);
  void updateCallerPresence(bool present);
  void reportAttemptEnded();
  Duration untilDeadline() const;
  void setAttemptResult(const std::string& result);
  AttemptId nextAttemptId();

  EngineClient& engines_;
  const Clock& clock_;
  EnginePlacer& placer_;
  AnswerSink& sink_;
  RelayRequest request_;
  Time start_;
  RequestFlow flow_;
  std::deque<FlowAction> pending_;
  std::unique_ptr<AttemptStream> stream_;
  AttemptId streamAttempt_;
  Placement streamPlacement_;
  bool occupiesEngine_ = false;  ///< A dispatch to streamPlacement_ is not yet reported as ended.
  bool announced_ = false;       ///< attemptStarted() was called for the current attempt.
  int64_t attemptCount_ = 0;
  RequestRecord* record_ = nullptr;
};

}  // namespace fernmoor
