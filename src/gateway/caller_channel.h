/// @file
/// The caller's end of one exchange: what the request path needs of a front end.
#pragma once

#include <Poco/Net/MessageHeader.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.h"
#include "http/byte_connection.h"

namespace fernmoor::gateway {

/// Head of an answer that is passed on.
struct AnswerHead {
  int status = 0;
  std::string reason;
  Poco::Net::MessageHeader headers;       ///< End-to-end headers only.
  std::optional<uint64_t> contentLength;  ///< None: as long as the stream goes on.
  bool isBodyless = false;                ///< HEAD, 204, 304.
};

/// Not thread-safe.
class CallerChannel {
 public:
  virtual ~CallerChannel() = default;
  /// @return false where the caller is gone. So do the others.
  virtual bool sendHead(const AnswerHead& head) = 0;
  virtual bool sendBody(std::string_view bytes) = 0;
  /// Ends an answer as complete.
  virtual bool finish() = 0;
  /// Ends an answer that has begun so that it cannot be taken for complete.
  virtual void breakOff() = 0;
  /// Gives an answer of our own. Only before sendHead().
  virtual void refuse(const Error& error) = 0;
  /// The connection, to see the caller leave.
  virtual ByteConnection& connection() = 0;
};

}  // namespace fernmoor::gateway
