/// @file
/// The one way by which a role reaches other nodes. The daemon puts sockets behind it, the
/// simulator a virtual network, a test a vector.
#pragma once

#include "common/ids.h"
#include "envelope.pb.h"

namespace fernmoor {

/// Sends messages to other nodes. A message may be lost, late, doubled or overtaken.
class MessageSender {
 public:
  virtual ~MessageSender() = default;
  /// Queues the message; never blocks and never calls back into the sending role.
  /// @param to the receiver; a node unknown to the transport drops the message.
  /// @param envelope body filled in; the transport fills in the sender.
  virtual void send(NodeId to, const proto::Envelope& envelope) = 0;
  /// @return bytes of messages to the node that were not sent yet. A role that sends much asks
  ///         first: what waits takes memory, and holds up what is sent after it. Without a queue:
  ///         0.
  virtual size_t waitingBytes(NodeId to) const { return 0; }
  /// @return the same for all nodes together.
  virtual size_t waitingBytes() const { return 0; }
};

}  // namespace fernmoor
