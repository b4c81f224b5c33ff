/// @file
/// The replica role of a node: it votes on keys and stores answers for resends. Recovery after a
/// loss of state and takeover after a change of the group are in replica_epoch.h.
/// docs/CLAIMS.md explains the protocol; spec/claim.pml and spec/claim_group.pml check it.
///
/// After E. Michael, D. Ports, N. Sharma, A. Szekeres, "Recovering Shared Objects Without Stable
/// Storage", DISC 2017.
#pragma once

#include <cstdint>

#include "claim/claim_rules.h"
#include "claim/claim_store.h"
#include "claim/claim_wire.h"
#include "claim/replica_epoch.h"
#include "claim/replica_group.h"
#include "common/knobs.h"
#include "common/role.h"

namespace fernmoor {

/// Replica status for operators and for the writer of the group configuration.
struct ClaimReplicaStatus {
  uint64_t epoch = 0;
  bool isMember = false;
  /// All records are present: the next epoch may be written once all members report this.
  bool isActive = false;
  size_t records = 0;
  size_t claimed = 0;
  size_t voided = 0;
  size_t storedBytes = 0;
};

/// Not thread-safe; ClaimService serializes the calls.
class ClaimReplica : public Role {
 public:
  /// @param self this node in its current incarnation.
  /// @param wallMicrosecondsAtZero wall clock minus monotonic clock, in microseconds.
  ClaimReplica(NodeLife self, int64_t wallMicrosecondsAtZero, const Knobs& knobs,
               ClaimRules rules = {});
  ClaimReplica(const ClaimReplica&) = delete;
  ClaimReplica& operator=(const ClaimReplica&) = delete;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

  /// Applies a newer configuration; an older or equal one is ignored. The first one after a start
  /// must be the newest that the platform holds, not merely the newest of one peer.
  void setGroupConfiguration(const GroupConfiguration& configuration, Time now);

  ClaimReplicaStatus status() const;
  /// @return the current record of a key, or null; for tests and operators.
  const ClaimRecord* find(const ClaimKey& key) const { return store_.find(key); }

 private:
  void onClaim(NodeLife from, const proto::ClaimRequest& request, Time now, MessageSender& sender);
  void onRelease(NodeLife from, const proto::ClaimRelease& release, MessageSender& sender);
  void onCompletion(NodeLife from, const proto::ClaimCompletion& completion, Time now,
                    MessageSender& sender);
  void onTransfer(NodeLife from, const proto::ClaimTransferRequest& request, Time now,
                  MessageSender& sender);

  /// Votes on a claim and records it if it is granted.
  proto::ClaimVerdict vote(const ClaimKey& key, const ClaimAttempt& attempt, uint64_t digest,
                           uint64_t epoch, Time now);
  proto::ClaimVerdict voteUnclaimed(const ClaimKey& key, const ClaimAttempt& attempt,
                                    uint64_t digest, Time now);
  bool applyRelease(const ClaimKey& key, const ClaimAttempt& attempt);
  void fillPage(const proto::ClaimTransferRequest& request, NodeId requester, Time now,
                proto::ClaimTransferReply& reply) const;
  void sendTransferRequests(Time now, MessageSender& sender);
  int64_t wallMicrosecondsAt(Time now) const;

  int64_t wallMicrosecondsAtZero_;
  Knobs knobs_;
  ClaimRules rules_;
  CrashVector incarnations_;
  ClaimStore store_;
  ReplicaEpoch epoch_;
  Time nextTransfer_{};
  Time nextPrune_{};
};

}  // namespace fernmoor
