/// @file
/// One request on its way through the forwarder: its attempts and what the caller has so far.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "common/log_options.h"
#include "gateway/begin_deadline.h"
#include "gateway/engine_attempt.h"
#include "gateway/event_splitter.h"
#include "gateway/forwarder.h"
#include "gateway/request_trail.h"

namespace fernmoor::gateway {

/// Grace after the deadline in which the back end's own last word may still come.
inline constexpr Duration kLastWordGrace{60000};

/// Not thread-safe; used for one request. What passes answers on stands in request_run_relay.cpp,
/// what it does about engines' limits in request_run_permits.cpp.
class RequestRun {
 public:
  RequestRun(Forwarder& forwarder, const IncomingRequest& request, CallerChannel& caller);
  void run();

 private:
  /// What comes after an attempt.
  enum class Next {
    kFinished,   ///< The caller has its answer, or is gone.
    kElsewhere,  ///< Another back end may be tried.
    kGiveUp,     ///< No other back end may be tried; refuse or break off.
  };

  /// A whole answer that waits for a better one.
  struct HeldAnswer {
    AnswerHead head;
    std::string body;
  };

  Next tryOnce();
  void noteStart(const PlannedSend& planned);
  Next afterStep(AttemptStep step);
  /// @return what comes after an attempt that may have run and brought no answer.
  Next afterUnknownRun();
  void noteWeights(const AnswerFacts& facts);
  Next takeAnswer(EngineAttempt& attempt);
  Next relayWhole(EngineAttempt& attempt);
  Next relayStream(EngineAttempt& attempt);
  Next passOnLarge(EngineAttempt& attempt, std::string body);
  bool forwardEvents(EventSplitter& events);
  /// @return whether there is room for an event that is not whole yet.
  bool mayHold(const EventSplitter& events);
  void noteEvents(Time now);
  bool sendStreamHead(EngineAttempt& attempt);
  bool mayRunElsewhere() const;
  bool maySendAgain();
  bool mayLeaveEngine() const;
  Time stepDeadline() const;
  /// @return when to look again whether the request still waits at its back end, `leaveAt` at the
  ///         latest.
  Time nextLook(Time leaveAt) const;
  bool staysWithSilentEngine();
  AttemptStep awaitHead(EngineAttempt& attempt);
  AttemptStep readStream(EngineAttempt& attempt, std::string& bytes);
  void noteEnd(BackendVerdict verdict, AttemptEnd end);
  /// @return whether the answer broke off with its connection or with its back end, which is held
  ///         against the request; where the connection alone seems to have broken, that may show
  ///         later.
  AttemptEnd howItBroke();
  /// @return its run at its back end, cut off now.
  quarantine::CrashedRun runUntilNow() const;
  /// Its run is held against the request if it turns out that the back end ended.
  void noteCutOff();
  /// The back end sent something that was read now.
  void noteBackendAlive();
  /// @return whether the request must not be sent; its caller was told then, if it has not run.
  bool isQuarantined();
  /// @return whether its prompt was counted at its back end until now.
  bool uncountPrompt();
  void notePromptRead();
  void releaseTicket();
  /// The request was not sent on its plan.
  void giveBackTicket();
  /// Waits until the request may be sent to a back end that states a limit.
  /// @return false where its caller left meanwhile, or the back end takes no requests any more.
  bool awaitPermit(const PlannedSend& planned);
  /// It was sent.
  void notePermitUsed();
  /// Takes what an answer's head states of its back end.
  void noteStatement(const AnswerFacts& facts);
  void logOddStatement(const AnswerFacts& facts, Time now);
  /// @param due until an engine takes a request.
  void refuseUnpermitted(Duration due);
  void deliverHeld();
  void giveUp();
  /// @return false where it was refused.
  bool passesLimit();
  void refuse(const Error& error);
  void refuseUnproven();
  bool isKeyProven() const;
  bool isLate(Time now) const;
  /// Tells it where the back end begins the request, now, on weights whose bound has ended.
  void reportOldWeights();
  void logEnd(RequestOutcome outcome);
  void logLine(RequestOutcome outcome, LogLevel level);

  Forwarder& forwarder_;
  ForwarderServices& services_;
  const IncomingRequest& request_;
  CallerChannel& caller_;
  ClassMetrics& metrics_;
  BeginDeadline beginDeadline_;
  std::set<std::string> tried_;
  const uint64_t fingerprint_;
  SendPlan plan_;
  int runs_ = 0;           ///< Back ends that may have run the request.
  int sends_ = 0;          ///< Back ends that it was sent to.
  bool headSent_ = false;  ///< The caller has the answer's head.
  bool mayHaveRun_ = false;
  bool promptCounted_ = false;
  bool atBackend_ = false;
  uint64_t answeredWeights_ = 0;  ///< That its latest back end answers with; 0: not told.
  bool isCounted_ = false;        ///< Against its tenant's limit.
  std::string lastEventId_;       ///< Of the last event that the caller has.
  bool callerGone_ = false;
  bool secondSendPaid_ = false;  ///< The budget was asked before the back end was chosen.
  std::optional<Duration> expectedFirstEvent_;  ///< From the latest send, where it is known.
  std::optional<Duration> unpermittedFor_;      ///< Why it was not sent: see PlannedSend.
  std::optional<Duration> hopelessWait_;        ///< Until its first event, why it was not sent.
  bool isPatient_ = false;                      ///< It stays with its engine, whatever the silence.
  std::optional<HeldAnswer> held_;
  HeldBytes heldBytes_;  ///< Of that answer, or of one that is read.
  Time sentAt_;          ///< When the latest send began.
  std::optional<Time> firstEventAt_;
  Time lastEventAt_;
  Duration longestPause_{};
  RequestTrail trail_;
  std::optional<LoadTicket> ticket_;  ///< While it waits or runs at its engine.
};

}  // namespace fernmoor::gateway
