/// @file
/// Messages between nodes that are too large for a datagram and wait until they are sent. What
/// waits is bounded in bytes, since memory is what a slow link or a slow receiver runs out of;
/// receivers take turns, and short messages don't wait behind long ones.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <map>
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
  /// @param mostBytes that may wait, in all.
  explicit LargeMessageQueue(size_t mostBytes) : mostBytes_(mostBytes) {}

  /// Adds a message. Where it finds no room the oldest messages to the receiver for which most
  /// waits are dropped; a message that is longer than all the room is dropped itself.
  /// @return how many messages were dropped.
  size_t push(LargeMessage message);
  /// @return the message that is to be sent next; nothing if none waits.
  std::optional<LargeMessage> pop();
  /// Drops long messages that wait for a receiver, which took one of them too slowly or not at all.
  /// @return how many messages.
  size_t dropLongTo(NodeId receiver);
  /// Drops all that waits for a receiver, which takes nothing. @return how many messages.
  size_t dropAllTo(NodeId receiver);
  bool empty() const { return bytes_ == 0; }
  /// Bytes of all messages that wait.
  size_t bytes() const { return bytes_; }
  /// Bytes of those to one receiver.
  size_t bytesTo(NodeId receiver) const;

 private:
  /// What waits for one receiver.
  struct Backlog {
    std::deque<LargeMessage> messages;  ///< The oldest first.
    size_t bytes = 0;
  };
  /// Messages of about one length, by receiver.
  struct Lane {
    std::map<NodeId, Backlog> backlogs;  ///< None is empty.
    NodeId lastServed;                   ///< The next receiver after it has its turn.
  };

  Lane& laneOf(const LargeMessage& message);
  size_t dropFrom(Lane& lane, NodeId receiver);
  std::optional<LargeMessage> popFrom(Lane& lane);
  LargeMessage takeOldest(Lane& lane, std::map<NodeId, Backlog>::iterator backlog);
  /// Drops the oldest message to the receiver for which most waits.
  void dropFromLongest();

  const size_t mostBytes_;
  std::array<Lane, 2> lanes_;  ///< Short messages, which go first, and long ones.
  size_t bytes_ = 0;
};

}  // namespace fernmoor
