/// @file
/// Which members' states are still to be passed on, and how often each was. Contents are read from
/// the member table when a message is made, so only the newest state of a member is ever sent.
/// The least-sent go first, as in SWIM (A. Das, I. Gupta, A. Motivala, DSN 2002, section 4.1).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "common/ids.h"

namespace fernmoor {

/// One member's pending update.
struct PendingUpdate {
  NodeId node;
  bool withIdentity = false;  ///< Receivers may not know this incarnation.
};

/// Bounded by the number of members, since it holds one entry for each. Not thread-safe.
class UpdateQueue {
 public:
  /// Passes the member's state on from now on, afresh if it was already.
  void add(NodeId node, bool withIdentity);
  /// Drops what is pending about the member.
  void remove(NodeId node);
  bool empty() const { return pending_.empty(); }
  size_t size() const { return pending_.size(); }

  /// Takes updates for one message, the least-sent first.
  /// @param fits called for each in turn; adds it to the message and returns true, or returns false
  /// if there is no room for it, which ends the message.
  /// @param except a member whose state is passed over, since it is the receiver.
  /// @param limit an update leaves the queue after it was sent so many times.
  void take(const std::function<bool(const PendingUpdate&)>& fits, NodeId except, int64_t limit);

 private:
  struct Place {
    int64_t timesSent = 0;
    uint64_t order = 0;  ///< Unique; the elder first.
    friend bool operator<(const Place& a, const Place& b) {
      return a.timesSent != b.timesSent ? a.timesSent < b.timesSent : a.order < b.order;
    }
  };

  void put(const Place& place, const PendingUpdate& update);

  std::map<Place, PendingUpdate> pending_;
  std::unordered_map<NodeId, Place> places_;
  uint64_t nextOrder_ = 0;
};

}  // namespace fernmoor
