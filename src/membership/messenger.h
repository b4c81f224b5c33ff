/// @file
/// Makes the messages of the membership role: heartbeat, kind, and as many updates as fit in one
/// datagram. They are collected and sent by the role after its lock was released.
#pragma once

#include <cstdint>
#include <vector>

#include "common/knobs.h"
#include "envelope.pb.h"
#include "membership/member_table.h"
#include "membership/update_queue.h"
#include "membership/version_spread.h"

namespace fernmoor {

/// A message that waits to be sent.
struct OutgoingMessage {
  NodeId to;
  proto::Envelope envelope;
};

/// Not thread-safe; works on state that its owner guards.
class Messenger {
 public:
  /// All references outlive the messenger.
  Messenger(const MemberTable& table, UpdateQueue& updates, const VersionSpread& versions,
            const Knobs& knobs);

  void ping(NodeId to, uint32_t nonce);
  void ack(NodeId to, uint32_t nonce);
  /// Passes on that the target answered, with its state.
  void ackFor(NodeId to, uint32_t nonce, NodeId target);
  void indirectPing(NodeId relay, NodeId target, uint32_t nonce);
  /// @param withReport adds which members have the newest table version in force.
  void gossip(NodeId to, bool withReport);
  /// Tells one node how the member is held here.
  void tell(NodeId to, NodeId member);
  void syncRequest(NodeId to);
  /// Sends all live members of the buckets whose hashes differ, in pages.
  /// @param answer adds this node's hashes, so that the asker can send what it has in addition.
  /// @param maximumPages bound on what is sent now; the rest is asked for another time.
  /// @return the number of pages sent.
  size_t syncPages(NodeId to, const MemberTable::BucketHashes& theirs, bool answer,
                   size_t maximumPages);

  /// @return how often each node passes on an update: retransmitFactor times ln(members + 1).
  int64_t retransmitLimit() const;
  /// @return the rounds of gossip in which an update is sent that often.
  int64_t gossipRounds() const;

  /// @return the messages made so far, which are taken out.
  std::vector<OutgoingMessage> takeOutbox();

 private:
  /// Starts a message with the heartbeat, and with the accusation if the receiver is held to be
  /// suspect or dead, so that it can refute.
  proto::MembershipMessage start(NodeId to) const;
  int64_t updateLimit() const;
  void piggyback(NodeId to, proto::MembershipMessage& message);
  void push(NodeId to, proto::MembershipMessage&& message);

  const MemberTable& table_;
  UpdateQueue& updates_;
  const VersionSpread& versions_;
  const Knobs& knobs_;
  std::vector<OutgoingMessage> outbox_;
};

}  // namespace fernmoor
