/// @file
/// One send of a request to one back end, over one connection.
#pragma once

#include <Poco/Net/HTTPResponse.h>

#include <memory>
#include <optional>
#include <string>

#include "common/time.h"
#include "gateway/backend_protocol.h"
#include "gateway/caller_channel.h"
#include "gateway/connection_pool.h"
#include "http/message_body.h"

namespace fernmoor::gateway {

/// Result of one step of an attempt.
enum class AttemptStep {
  kDone,        ///< The step succeeded.
  kNotSent,     ///< No byte reached the back end.
  kTooLate,     ///< The deadline passed before a byte was sent.
  kUnwanted,    ///< The back end no longer accepts requests; no byte was sent.
  kUnsendable,  ///< A header would end its line early; no byte was sent.
  kBroken,      ///< Connection failure or invalid answer: the request may have run.
  kSilent,      ///< Nothing arrived before the deadline.
  kCallerGone,  ///< The caller disconnected.
};

/// Which connections an attempt may use.
struct ConnectionUse {
  bool mayReuse = true;  ///< An idle one of the pool.
  bool mayOpen = true;   ///< A new one.
};

/// Time limits of a send.
struct SendLimits {
  Time deadline;
  Duration mostStall = Duration::max();  ///< Longest time without progress.
  bool mayStallOnceBegun = true;         ///< `mostStall` applies only until a byte was accepted.
};

/// Not thread-safe. Closes its connection on destruction unless keepConnection() was called.
class EngineAttempt {
 public:
  EngineAttempt(const IncomingRequest& request, const SendPlan& plan,
                const BackendProtocol& protocol, ConnectionPool& pool, const Clock& clock);

  /// Takes an idle connection from the pool or opens one.
  AttemptStep open(Time deadline, ConnectionUse use = {});
  /// Sends the request on the open connection.
  /// @param caller watched for a disconnect while the back end accepts no bytes.
  /// @return kNotSent or kTooLate if a limit passed before the connection accepted a byte, kSilent
  ///         if one passed later; kUnsendable if the request has no valid head for this back end.
  AttemptStep send(CallerChannel& caller, const SendLimits& limits);
  /// Waits for the final head of the answer, skipping interim (1xx) ones.
  AttemptStep awaitHead(CallerChannel& caller, Time deadline);
  /// Reads the available part of the body. Waits for data for one piece of the wait at most, and no
  /// longer than the deadline.
  /// @param bytes replaced.
  /// @return kDone with data; or without data at the end of the body (see bodyComplete()) and when
  ///         one piece of the wait has passed. Once the deadline has passed, kSilent after some
  ///         more data at the latest: what had arrived by then is still read, a body without end is
  ///         not.
  AttemptStep readBody(CallerChannel& caller, Time deadline, std::string& bytes);

  /// @return whether open() tried to open a connection, with or without success; false if it took
  ///         an idle one or was not to open one.
  bool triedNewConnection() const { return triedNewConnection_; }
  /// @return whether this node recently left readable parts of the answer unread for so long that
  ///         the back end may have cut it off for that reason.
  bool wasLeftUnread() const;
  bool bodyComplete() const { return body_ && body_->complete(); }
  const Poco::Net::HTTPResponse& head() const { return head_; }
  const AnswerFacts& facts() const { return facts_; }
  const BodyShape& bodyShape() const { return shape_; }
  /// See ByteConnection; only while the attempt has a connection.
  int64_t peerStartedAt() const { return connection_->peerStartedAt(); }
  void setPeerStartedAt(int64_t startedAt) { connection_->setPeerStartedAt(startedAt); }
  /// Returns the connection to the pool if it can be reused.
  void keepConnection();

 private:
  /// @return the head of the request; nothing if a header cannot be written.
  std::optional<std::string> headText() const;
  AttemptStep writeRequest(CallerChannel& caller, const SendLimits& limits);
  AttemptStep writeAll(std::string_view bytes, CallerChannel& caller, const SendLimits& limits);
  /// @return the longest wait for the rest of a header or chunk that has begun to arrive.
  Duration partialMessageTimeout() const;
  /// @return whether more of the body may be read at this time.
  bool mayReadBody(Time now, Time deadline);
  /// Records how long the answer may have been unread when a wait for it ends.
  /// @param start of the wait.
  void noteWait(Time start, Duration longestWait);

  const IncomingRequest& request_;
  const SendPlan& plan_;
  const BackendProtocol& protocol_;
  ConnectionPool& pool_;
  const Clock& clock_;
  std::unique_ptr<ByteConnection> connection_;
  bool triedNewConnection_ = false;
  bool requestSent_ = false;
  bool hasSentBytes_ = false;
  std::optional<Time> readAt_;        ///< End of the latest step that read the answer.
  std::optional<Time> leftUnreadAt_;  ///< When it was last found unread for long.
  Poco::Net::HTTPResponse head_;
  AnswerFacts facts_;
  BodyShape shape_;
  std::optional<BodyReader> body_;
  size_t lateBytes_ = 0;           ///< Of the body, read since the deadline passed.
  std::optional<Time> lateSince_;  ///< First read after the deadline.
};

}  // namespace fernmoor::gateway
