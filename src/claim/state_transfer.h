/// @file
/// Collects the records that other replicas hold, page by page: from the peers of the same epoch
/// after a loss of state (recovery), or from the members of the previous epoch, which stop voting
/// in it by answering (sealing). Answers of a replica that has restarted since are discarded, as
/// in E. Michael, D. Ports, N. Sharma, A. Szekeres, "Recovering Shared Objects Without Stable
/// Storage", DISC 2017. Not thread-safe; owned by ClaimReplica.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "claim/claim_record.h"
#include "claim/claim_rules.h"
#include "claim/claim_wire.h"
#include "claim/replica_group.h"

namespace fernmoor {

/// What the sources that answered report about one key.
struct TransferView {
  size_t withState = 0;  ///< Sources of the key's group that answered with their records.
  size_t sealed = 0;     ///< The same and those that are known to have lost their state.
  std::vector<RecordView> records;
};

class StateTransfer {
 public:
  /// @param sources replicas to ask, without the node itself.
  /// @param retired sources that are permanently gone; counted as sealed without state.
  StateTransfer(uint64_t sourceEpoch, uint64_t targetEpoch, const std::vector<NodeId>& sources,
                const std::vector<NodeId>& retired, ClaimRules rules);

  uint64_t sourceEpoch() const { return sourceEpoch_; }
  uint64_t targetEpoch() const { return targetEpoch_; }

  /// @return sources that must be asked (again), with the request for each.
  std::vector<std::pair<NodeId, proto::ClaimTransferRequest>> requests() const;

  /// Handles a page of an answer.
  /// @return true if the caller should send the next requests at once.
  bool onReply(const NodeLife& from, const proto::ClaimTransferReply& reply, Time now);

  /// @return what the sources of the group report about the key; views stay valid until the next
  /// call of a function that is not const.
  TransferView view(const ClaimKey& key, const std::vector<NodeId>& group) const;

  /// @return how many sources have not given their state / have not at least sealed.
  size_t missingState() const;
  size_t missingSeal() const;

  /// Drops the records of a key that has been merged.
  void forget(const ClaimKey& key);
  /// @return the keys whose records have not been merged yet.
  std::vector<ClaimKey> pendingKeys() const;
  size_t sourceCount() const { return sources_.size(); }

 private:
  struct Source {
    Incarnation incarnation;  ///< Of the answer that is being or was received.
    CrashVector vector;       ///< Incarnations that the source knew when it answered.
    int64_t birthFloor = 0;   ///< Older keys without a record are void there.
    std::map<ClaimKey, ClaimRecord> records;
    std::optional<ClaimKey> cursor;
    bool withState = false;
    bool empty = false;
  };

  /// Discards answers of incarnations that another answer shows to have ended.
  void dropStale();
  void acceptPage(Source& source, const proto::ClaimTransferReply& reply, Time now);

  uint64_t sourceEpoch_;
  uint64_t targetEpoch_;
  ClaimRules rules_;
  std::map<NodeId, Source> sources_;
};

}  // namespace fernmoor
