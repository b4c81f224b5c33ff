/// @file
/// Drives one request's RequestFlow with real engine streams, on the calling thread.
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

/// A request for a model, admitted and ready to be placed.
struct RelayRequest {
  RequestId id;
  TenantId tenant;
  ModelId model;
  AdapterId adapter;
  int64_t priority = 5;
  std::string prompt;
  int64_t maxTokens = 16;
};

/// A placement with what explains it.
struct PlacedAttempt {
  Placement placement;
  std::string reason;
  double expectedSeconds = 0;
  std::vector<ConsideredEngine> considered;
};

/// Chooses engines for a request. One object a request; called on its thread.
class EnginePlacer {
 public:
  virtual ~EnginePlacer() = default;
  /// @param excluded engines that failed this request; taken only where there is no other.
  virtual Result<PlacedAttempt> place(const std::vector<EngineId>& excluded) = 0;
  /// An engine failed or refused; it should not be chosen again soon.
  virtual void reportFailure(const Placement& placement, const Error& error) = 0;
  /// The engine's first frame told how much of the prompt it had cached.
  virtual void reportHit(const Placement& placement, const AttemptFrame& firstFrame) = 0;
  /// An attempt is over on that engine, however it ended. Called once for each placement.
  virtual void reportEnded(const Placement& placement) = 0;
};

/// Where a caller's answer goes. Called on the request's thread. Every method returns false where
/// the caller is gone.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  /// An attempt begins to bring frames; before its first text.
  virtual bool attemptStarted(const AttemptId& attempt, const Placement& placement,
                              const AttemptFrame& firstFrame) = 0;
  virtual bool text(int64_t position, int64_t tokens, const std::string& text) = 0;
  virtual bool finish(int64_t totalTokens) = 0;
  virtual bool refuse(const Error& error) = 0;
  /// @return the caller's socket, to notice when it closes; null where that can't be watched.
  virtual const Poco::Net::Socket* callerSocket() = 0;
  /// Called when that socket became readable. @return true where the caller closed it.
  virtual bool callerGone() = 0;
};

class StreamRelay {
 public:
  StreamRelay(EngineClient& engines, const Clock& clock, EnginePlacer& placer, AnswerSink& sink,
              RelayRequest request, FlowLimits limits);

  /// Runs the request to its end.
  /// @param record filled in as far as it is known here.
  void run(RequestRecord& record);

  /// Takes up an attempt that may have been dispatched by another node.
  void runAdopted(const Placement& placement, const AttemptId& attempt, int64_t position,
                  RequestRecord& record);

 private:
  void pump(FlowActions first);
  void carryOut(const FlowAction& action);
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
  void noteCaller(bool present);
  void leaveEngine();
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
  bool occupiesEngine_ = false;  ///< streamPlacement_ was not yet reported as ended.
  bool announced_ = false;       ///< The sink knows of the present attempt.
  int64_t attemptCount_ = 0;
  RequestRecord* record_ = nullptr;
};

}  // namespace fernmoor
