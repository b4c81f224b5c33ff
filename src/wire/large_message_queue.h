/// @file
/// Messages between nodes that are too large for a datagram and wait until they are sent.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "common/ids.h"
#include "common/socket_address.h"

namespace fernmoor {

/// A sealed message that is too large for a datagram.
struct LargeMessage {
  NodeId to;
  SocketAddress address;
  std::string bytes;
};

/// Not thread-safe.
class LargeMessageQueue {
 public:
  /// Adds a message at the end.
  /// @return how many messages were dropped for want of room.
  size_t push(LargeMessage message);
  /// @return the message that is to be sent next; nothing if none waits.
  std::optional<LargeMessage> pop();
  bool empty() const { return messages_.empty(); }
  /// Bytes of all messages that wait.
  size_t bytes() const { return bytes_; }

 private:
  std::deque<LargeMessage> messages_;
  size_t bytes_ = 0;
};

}  // namespace fernmoor
