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

/// How far a step of an attempt got.
enum class AttemptStep {
  kDone,        ///< The step succeeded.
  kNotSent,     ///< No byte reached the back end.
  kTooLate,     ///< The time given was over before a byte was sent.
  kUnwanted,    ///< The back end takes no requests any more; no byte was sent.
  kBroken,      ///< The connection failed, or what came is no answer: the request may have run.
  kSilent,      ///< Nothing came in the time given.
  kCallerGone,  ///< The caller left.
};

/// Not thread-safe. Ends its connection when destroyed, unless keepConnection() was called.
class EngineAttempt {
 public:
  EngineAttempt(const IncomingRequest& request, const SendPlan& plan,
                const BackendProtocol& protocol, ConnectionPool& pool, const Clock& clock);

  /// Opens or borrows a connection.
  AttemptStep open(Time deadline);
  /// Sends the request on the connection that is open.
  /// @param caller watched while the back end does not take bytes.
  AttemptStep send(CallerChannel& caller, Time deadline);
  /// Waits for the head of the answer.
  AttemptStep awaitHead(CallerChannel& caller, Time deadline);
  /// Reads what is there of the body; waits for it until the deadline.
  /// @param bytes replaced.
  /// @return kDone with bytes, or with none at the body's end (see bodyComplete()).
  AttemptStep readBody(CallerChannel& caller, Time deadline, std::string& bytes);

  bool bodyComplete() const { return body_ && body_->complete(); }
  const Poco::Net::HTTPResponse& head() const { return head_; }
  const AnswerFacts& facts() const { return facts_; }
  const BodyShape& bodyShape() const { return shape_; }
  /// Gives the connection back to the pool where it is fit for another request.
  void keepConnection();

 private:
  std::string headText() const;
  AttemptStep writeRequest(CallerChannel& caller, Time deadline);
  AttemptStep writeAll(std::string_view bytes, CallerChannel& caller, Time deadline);
  bool parseHead(const std::string& text);

  const IncomingRequest& request_;
  const SendPlan& plan_;
  const BackendProtocol& protocol_;
  ConnectionPool& pool_;
  const Clock& clock_;
  std::unique_ptr<ByteConnection> connection_;
  bool sentWhole_ = false;
  Poco::Net::HTTPResponse head_;
  AnswerFacts facts_;
  BodyShape shape_;
  std::optional<BodyReader> body_;
};

}  // namespace fernmoor::gateway
