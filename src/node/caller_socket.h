/// @file
/// A caller's connection, watched for the caller going away.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/StreamSocket.h>

namespace fernmoor {

/// Used by one thread.
class CallerSocket {
 public:
  explicit CallerSocket(Poco::Net::HTTPServerRequest& request);

  /// @return true where the caller closed the connection. Never blocks. Bytes of a further request
  /// on the connection don't count as closing; after them it can't be watched any more.
  bool gone();
  /// @return the socket to wait on, or null where it can't be watched.
  const Poco::Net::Socket* watched() const { return watchable_ ? &socket_ : nullptr; }

 private:
  Poco::Net::StreamSocket socket_;
  bool watchable_ = true;
};

}  // namespace fernmoor
