/// @file
/// Interface of the request path to a front end: the caller's side of one request and its answer.
#pragma once

#include <Poco/Net/MessageHeader.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.h"
#include "gateway/caller_buffer.h"
#include "http/byte_connection.h"

namespace fernmoor::gateway {

/// Head of an answer that is relayed to the caller.
struct AnswerHead {
  int status = 0;
  std::string reason;
  Poco::Net::MessageHeader headers;       ///< End-to-end headers only.
  std::optional<uint64_t> contentLength;  ///< Not set: until the stream ends.
  bool isBodyless = false;                ///< HEAD, 204, 304.
  /// For a caller that is another node: the software version that the stream is bound to.
  std::optional<std::string> software;
};

/// Not thread-safe.
class CallerChannel {
 public:
  virtual ~CallerChannel() = default;
  /// @return false if the caller has disconnected or was given up; sendBody() and finish() do the
  ///         same. None of them waits for the caller if there is a buffer().
  virtual bool sendHead(const AnswerHead& head) = 0;
  virtual bool sendBody(std::string_view bytes) = 0;
  /// Ends the answer as complete.
  virtual bool finish() = 0;
  /// Aborts an answer that has begun, so that the caller cannot mistake it for a complete one.
  virtual void breakOff() = 0;
  /// Answers with an error of this gateway. Allowed only before sendHead().
  virtual void refuse(const Error& error) = 0;
  /// @return the caller's connection, used to detect a disconnect.
  virtual ByteConnection& connection() = 0;
  /// @return what the caller has not taken yet; null if this channel keeps nothing.
  virtual CallerBuffer* buffer() { return nullptr; }
};

}  // namespace fernmoor::gateway
