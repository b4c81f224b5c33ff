/// @file
/// State machine for one forwarded request: its attempts at back ends and how much of the answer
/// the caller has received.
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

/// Time after the request's deadline during which the back end's own final answer is still
/// accepted.
inline constexpr Duration kAnswerGrace{60000};

/// Not thread-safe; used for one request. Relaying of answers is implemented in
/// request_run_relay.cpp, handling of rate limits that engines state in request_run_permits.cpp,
/// the way through another node in request_run_peer.cpp, and the software version that a stream is
/// bound to in request_run_software.cpp.
class RequestRun {
 public:
  RequestRun(Forwarder& forwarder, IncomingRequest& request, CallerChannel& caller);
  void run();

 private:
  /// What to do after an attempt.
  enum class Next {
    kFinished,    ///< The caller has its answer or has disconnected.
    kTryAnother,  ///< Another back end may be tried.
    kGiveUp,      ///< No other back end may be tried; reject the request or abort the answer.
  };

  /// Whether the process that answers is the one that its entry in the list describes.
  enum class ProcessProof { kListed, kOther, kUnproven };

  /// A complete answer that is sent only if no further attempt gives a better one.
  struct BufferedAnswer {
    AnswerHead head;
    std::string body;
  };

  /// @param peer the node to hand the request to; std::nullopt: it is sent to an engine.
  Next tryOnce(const std::optional<PeerNode>& peer);
  Next tryEngine();
  /// @return the node to hand the request to next; std::nullopt if it is not handed on now.
  std::optional<PeerNode> nextPeer();
  Next tryPeer(const PeerNode& peer);
  Next relayAnswer(EngineAttempt& attempt);
  Next takePeerAnswer(EngineAttempt& attempt);
  Next afterPeerStep(AttemptStep step);
  /// Stops counting the request against its tenant's limit: the node it is handed to counts it.
  void uncountAgainstLimit();
  /// @return the connections that may be used for the request at an engine.
  ConnectionUse connectionUse() const;
  /// Plans anew under which scope the parts are cached if the table in force has changed since, as
  /// while the request waited for its permit.
  void followCacheScope();
  void recordSend(const PlannedSend& planned);
  Next afterStep(AttemptStep step);
  /// @return what to do after an attempt that gave no complete answer and may have executed the
  ///         request.
  Next afterUnknownRun();
  void noteWeights(const AnswerFacts& facts);
  Next takeAnswer(EngineAttempt& attempt);
  Next relayBuffered(EngineAttempt& attempt);
  Next relayStream(EngineAttempt& attempt);
  Next relayUnbuffered(EngineAttempt& attempt, std::string body);
  bool forwardEvents(EventSplitter& events);
  /// Reads a part of the answer, as EngineAttempt::readBody().
  AttemptStep readBody(EngineAttempt& attempt, Time deadline, std::string& bytes);
  /// Sends a long part of an answer in pieces, so that at most one is also held by the caller's
  /// buffer. The parameter and the result are as those of awaitCaller().
  bool sendInPieces(std::string_view bytes, bool engineWaits);
  /// Waits until the caller has taken all but so many bytes of the answer.
  /// @param engineWaits nothing is read from the engine meanwhile: a caller that takes nothing for
  ///        kUnresponsiveCallerTimeout is given up.
  /// @return false if the caller has disconnected or was given up.
  bool awaitCaller(size_t mostLeft, bool engineWaits);
  /// @return false if the caller has disconnected or was given up.
  bool callerMayGoOn();
  /// @return false if the caller has taken nothing for some time although there is something.
  bool callerReads();
  bool isCallerGivenUp();
  AttemptEnd endByCaller();
  /// Ends a request whose caller has disconnected or was given up.
  void endWithoutCaller();
  /// Ends an attempt whose answer broke off.
  Next afterBreak();
  /// @return whether the engine still runs and cut the answer off because it was not read.
  bool isCutOffUnread();
  /// @return whether the incomplete event at the end of the stream fits the size limit and the
  ///         memory budget.
  bool mayBuffer(const EventSplitter& events);
  void recordEvents(Time now);
  bool sendStreamHead(EngineAttempt& attempt);
  /// Finds out the software version of a stream that the caller takes up.
  /// @return false if it is not known; the caller has been sent the rejection then.
  bool bindTakenUpStream();
  /// @return where the stream began; nothing if no node knows or it may not go on there.
  std::optional<StreamBinding> findBinding();
  /// Binds the stream to the software version of the current back end before its first event is
  /// sent to the caller. To be called when the first bytes of an attempt have arrived.
  /// @return false if the back end does not run the version that the stream is bound to: its events
  ///         must not reach the caller.
  bool bindStream(EngineAttempt& attempt);
  ProcessProof proveProcess(EngineAttempt& attempt);
  void bindTo(const std::optional<std::string>& software);
  /// Tells the owners of the stream's record.
  void recordBinding();
  /// @return whether it is known at which back ends the stream may go on.
  bool mayGoOnSomewhere() const { return !isBound_ || boundSoftware_; }
  /// Leaves a back end whose process does not run the version that the stream is bound to.
  Next leaveOtherSoftware();
  bool mayRunElsewhere() const;
  bool maySendAgain();
  bool mayAbandonEngine() const;
  Time stepDeadline() const;
  /// @return when to check next whether the request has to be withdrawn from its back end,
  ///         `leaveAt` at the latest.
  Time nextCheck(Time leaveAt) const;
  bool keepsWaitingForSilentEngine();
  AttemptStep awaitHead(EngineAttempt& attempt);
  AttemptStep readStream(EngineAttempt& attempt, std::string& bytes);
  void recordAttemptEnd(BackendVerdict verdict, AttemptEnd end);
  /// Tells a broken connection and a lost link of this node from a crash of the back end. A crash
  /// is reported to the quarantine at once; other runs are kept, as later evidence may still show a
  /// crash.
  /// @return kBroken, kNotReachable or kCrashed.
  AttemptEnd classifyBreak();
  /// @return the run at the current back end, ending now.
  quarantine::CrashedRun runUntilNow() const;
  /// Keeps the run, so that it counts as a crash if the back end proves to have ended.
  void recordCutOff();
  /// Records that no connection to the back end could be had, and avoids it for a while unless this
  /// node reaches no engine at all.
  void recordNotReached();
  /// Records whether the connection for an attempt could be opened.
  void noteReach(const EngineAttempt& attempt, AttemptStep opened);
  /// Records that data from the back end was read now, so that its process was alive.
  void recordBackendAlive();
  /// @return whether the request is quarantined and must not be sent. If it cannot have run, the
  ///         caller has been sent the rejection.
  bool isQuarantined();
  /// Stops counting the prompt as unread at the back end.
  /// @return whether it was counted until now.
  bool uncountPrompt();
  void recordPromptRead();
  void releaseTicket();
  /// Returns the ticket of a plan by which the request was not sent.
  void giveBackTicket();
  /// Waits until the request may be sent to a back end that states a rate limit.
  /// @return false if the caller disconnected meanwhile or the back end no longer accepts requests.
  bool awaitPermit(const PlannedSend& planned);
  /// Counts a request that was sent under a permit.
  void recordPermitUse();
  /// @return the statement of a number in an answer that arrives now; nothing if it says nothing.
  std::optional<LimitStatement> statementOf(LimitMention mention, double value, Time now) const;
  /// Records what the head of an answer states about its back end: limit, brittleness, drain, rest.
  void noteStatement(const AnswerFacts& facts);
  void logUnreadableStatement(const AnswerFacts& facts, Time now);
  /// @param due time until an engine accepts a request.
  void rejectWithoutPermit(Duration due);
  void deliverBuffered();
  void giveUp();
  /// @return false if the request exceeded its tenant's limit and was rejected.
  bool passesLimit();
  void refuse(const Error& error);
  void rejectUnverifiedKey();
  /// @return whether the request may be sent to an engine as its key was valid a short time ago.
  bool isKeyVerified() const;
  /// @return why an answer that is delivered now is late; nothing: it is in time.
  std::optional<LateCause> lateCause(Time now) const;
  /// Counts and logs the request if its back end starts it now with weights that should have been
  /// replaced by now.
  void reportOldWeights();
  void logEnd(RequestOutcome outcome);
  /// @param level kDebug for requests that were delivered in time.
  /// @param late why an answer that was delivered is late; nothing: it is in time, or was not
  ///        delivered.
  void logLine(RequestOutcome outcome, LogLevel level,
               std::optional<LateCause> late = std::nullopt);

  Forwarder& forwarder_;
  ForwarderServices& services_;
  IncomingRequest& request_;
  CallerChannel& caller_;
  ClassMetrics& metrics_;
  BeginDeadline beginDeadline_;
  std::set<std::string> tried_;
  std::set<NodeId> triedPeers_;
  std::optional<NodeId> currentPeer_;  ///< The node that the current attempt hands the request to.
  std::optional<BufferedAnswer> peerRefusal_;  ///< The last rejection of another node: not run.
  size_t unreached_ = 0;                       ///< Engines to which no connection could be had.
  const Suspects suspects_;
  SendPlan plan_;
  int runs_ = 0;            ///< Number of back ends that may have run the request.
  bool isCounted_ = false;  ///< It counts as a request in the retry budget, here or at
                            ///< the node that handed it on.
  int sends_ = 0;           ///< Number of back ends that the request was sent to.
  bool headSent_ = false;   ///< The head of the answer was sent to the caller.
  bool mayHaveRun_ = false;
  bool promptCounted_ = false;
  bool attemptOpen_ = false;
  uint64_t answeredWeights_ = 0;     ///< Version stated by the latest answer; 0: none stated.
  bool countsAgainstLimit_ = false;  ///< The request counts against its tenant's limit.
  bool isBound_ = false;             ///< The caller has, or is about to get, events of the stream.
  std::optional<std::string> boundSoftware_;  ///< If bound: the version; nothing: not known.
  bool isAttemptChecked_ = false;             ///< bindStream() accepted the current back end.
  std::string lastEventId_;                   ///< Id of the last event that was sent to the caller.
  bool callerGone_ = false;                   ///< It has disconnected or was given up.
  bool wasLeftUnread_ = false;                ///< See EngineAttempt::wasLeftUnread().
  bool retryCharged_ = false;  ///< The budget was charged before the back end was chosen.
  std::optional<Duration> expectedFirstEvent_;  ///< Counted from the latest send, if known.
  std::optional<Duration> unpermittedFor_;      ///< Set if no engine had a permit: see PlannedSend.
  std::optional<WaitVerdict> waitRefusal_;      ///< Set if it was not sent because of the wait.
  bool staysWithEngine_ = false;  ///< Wait for the current engine however long it is silent.
  std::optional<BufferedAnswer> bufferedAnswer_;
  HeldBytes heldBytes_;  ///< Memory charged for `bufferedAnswer_`, or for the answer being read.
  Time sentAt_;          ///< Start of the latest send.
  uint64_t tokensToRead_ = 0;  ///< Of the prompt, by the latest plan.
  std::optional<Time> firstEventAt_;
  Time lastEventAt_;
  Duration longestPause_{};
  StreamPace pace_;  ///< Of the stream at the current back end.
  RequestTrail trail_;
  std::optional<LoadTicket> ticket_;  ///< Set while the request is queued or running at its engine.
};

}  // namespace fernmoor::gateway
