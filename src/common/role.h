/// @file
/// What every duty of a node looks like to the node: it takes messages and time, and answers by
/// sending messages. Roles hold no sockets, clocks or threads, so that the daemon, the simulator
/// and the tests run the very same code.
#pragma once

#include "common/ids.h"
#include "common/message_sender.h"
#include "common/time.h"

namespace fernmoor {

/// Sender of a message: which node, in which of its lives.
struct NodeLife {
  NodeId node;
  Incarnation incarnation;
  friend bool operator==(const NodeLife& a, const NodeLife& b) {
    return a.node == b.node && a.incarnation == b.incarnation;
  }
  friend bool operator!=(const NodeLife& a, const NodeLife& b) { return !(a == b); }
  friend bool operator<(const NodeLife& a, const NodeLife& b) {
    return a.node != b.node ? a.node < b.node : a.incarnation < b.incarnation;
  }
};

inline std::ostream& operator<<(std::ostream& out, const NodeLife& life) {
  return out << life.node << "/" << life.incarnation;
}

/// One duty of a node (membership, table, claims, ...). Implementations guard their own state with
/// a RankedMutex and may be called from any thread.
class Role {
 public:
  virtual ~Role() = default;

  /// Takes one message from another node.
  /// @param from the sender; its node id is authenticated by the transport.
  /// @param envelope the message; only the body case of this role is passed to it.
  /// @param now the current instant.
  /// @param sender where answers go; used only during the call.
  virtual void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                         MessageSender& sender) = 0;

  /// Lets time pass: timeouts, retries, periodic messages. Called every few tens of milliseconds.
  virtual void onTick(Time now, MessageSender& sender) = 0;
};

}  // namespace fernmoor
