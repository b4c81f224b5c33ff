/// @file
/// Which members' states are still to be passed on, and how often each was. Contents are read from
/// the member table when a message is made, so only the newest state of a member is ever sent.
/// The least-sent go first, as in SWIM (A. Das, I. Gupta, A. Motivala, DSN 2002, section 4.1).
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.h"

namespace fernmoor {

/// One member's pending update.
struct PendingUpdate {
  NodeId node;
  bool withIdentity = false;  ///< Receivers may not know this life.
};

/// Bounded by the number of members, since it holds one entry for each. Not thread-safe.
class UpdateQueue {
 public:
  /// Passes the member's state on from now on, afresh if it was already.
  void add(NodeId node, bool withIdentity);
  /// Drops what is pending about the member.
  void remove(NodeId node) { entries_.erase(node); }
  bool empty() const { return entries_.empty(); }
  size_t size() const { return entries_.size(); }

  /// @return all that is pending, the least-sent first.
  std::vector<PendingUpdate> inOrder() const;
  /// Notes that the member's state was sent; it leaves the queue after `limit` times.
  void noteSent(NodeId node, int64_t limit);

 private:
  struct Entry {
    int64_t timesSent = 0;
    uint64_t order = 0;
    bool withIdentity = false;
  };
  std::map<NodeId, Entry> entries_;
  uint64_t nextOrder_ = 0;
};

}  // namespace fernmoor
