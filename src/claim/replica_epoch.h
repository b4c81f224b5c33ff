/// @file
/// The epoch that a replica votes in, and how it gets the records required before it votes:
/// recovery from its peers after a loss of state, sealing of the previous epoch after a change of
/// the group. docs/CLAIMS.md gives the rules and their reasons.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "claim/claim_rules.h"
#include "claim/claim_store.h"
#include "claim/replica_group.h"
#include "claim/state_transfer.h"
#include "common/knobs.h"
#include "common/role.h"

namespace fernmoor {

/// Not thread-safe; owned by ClaimReplica, whose records it brings up to date.
class ReplicaEpoch {
 public:
  ReplicaEpoch(NodeLife self, int64_t wallMicrosecondsAtZero, const Knobs& knobs, ClaimRules rules,
               ClaimStore& store);

  /// Enters a newer epoch; ignores others.
  void enter(const GroupConfiguration& configuration, Time now);
  /// Stops voting in every epoch below the given one.
  void seal(uint64_t belowEpoch);
  /// Handles a page of records. @return true if the next requests should be sent at once.
  bool onReply(const NodeLife& from, const proto::ClaimTransferReply& reply, Time now);
  /// Abandons a recovery that has timed out.
  void onTick(Time now);
  /// @return requests for records that are still missing.
  std::vector<std::pair<NodeId, proto::ClaimTransferRequest>> transferRequests() const;

  /// Brings the key's record up to the current epoch. @return false while that is not possible.
  bool settle(const ClaimKey& key);
  /// @return true if this node votes in the epoch on the key once it is settled.
  bool votesIn(uint64_t epoch, const ClaimKey& key) const;
  /// @return how this node answers a request for its records.
  proto::ClaimTransferStatus transferStatus(uint64_t sourceEpoch, uint64_t targetEpoch) const;
  /// @return the birth floor sent to peers: older keys without a record here count as voided.
  int64_t floorForPeers() const;

  const NodeLife& self() const { return self_; }
  const GroupConfiguration& configuration() const { return configuration_; }
  uint64_t sealedBelow() const { return sealedBelow_; }
  std::vector<NodeId> groupFor(const ClaimKey& key) const;
  bool isMember() const;
  /// @return true if all records of this node's keys are present.
  bool isActive() const { return completeEpoch_ != 0 && completeEpoch_ == configuration_.epoch; }

 private:
  bool settleByRecovery(const ClaimKey& key);
  bool settleBySealing(const ClaimKey& key);
  TransferView sealedView(const ClaimKey& key, const std::vector<NodeId>& group) const;
  bool finishSettling(const ClaimKey& key, ClaimRecord merged);
  /// Settles every known key once that is possible for all, and then marks the epoch complete.
  void completeIfPossible();
  bool settleAllKnown();

  bool recoveredFromPeers() const;
  bool isRecovering() const { return recovery_ && !recoveryAbandoned_ && !recoveredFromPeers(); }
  bool everyGroupIsSealed() const;
  bool everyGroupHasState() const;
  int64_t floorAt(Time now) const;
  size_t groupSize(const std::vector<GroupMember>& members) const;

  NodeLife self_;
  int64_t wallMicrosecondsAtZero_;
  Knobs knobs_;
  ClaimRules rules_;
  ClaimStore& store_;
  GroupConfiguration configuration_;
  uint64_t sealedBelow_ = 0;    ///< No votes in epochs below this one.
  uint64_t completeEpoch_ = 0;  ///< Latest epoch whose records are all present.
  std::optional<StateTransfer> recovery_;
  std::optional<StateTransfer> sealing_;
  Time recoveryDeadline_{};
  bool recoveryAbandoned_ = false;
  bool ownStateIsSource_ = false;  ///< This node's records are those of the sealed epoch.
  int64_t emptySourceFloor_ = 0;   ///< Sources without state voted only on keys created before.
};

}  // namespace fernmoor
