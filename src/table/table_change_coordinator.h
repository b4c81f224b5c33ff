/// @file
/// Carries an operator's change through: checks it, stores it in the platform, and waits until it
/// is in force on every live node. Used by the operators' endpoint on a control-plane thread.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "common/knobs.h"
#include "membership/member.h"
#include "objectstore/object_store_client.h"
#include "table/table.h"
#include "table/table_edit.h"
#include "table/table_role.h"

namespace fernmoor {

/// How far a change came.
enum class EditStanding {
  kAccepted,  ///< In force on every live node; it never reverts.
  kStored,    ///< In the platform for good; some nodes were not yet seen to have it in force.
  kConflict,  ///< Not stored: a row had changed since the operator looked.
};

struct EditReport {
  EditStanding standing = EditStanding::kStored;
  TableVersion version;         ///< Under which it is stored; 0 for a conflict.
  std::vector<NodeId> lacking;  ///< For kStored: nodes that didn't report the version.
  /// For kStored: whether the platform told which machines are live; without it nothing is called
  /// accepted, though all members have it.
  bool machineListRead = false;
  std::vector<RowConflict> conflicts;  ///< For kConflict: both sides.
};

/// Thread-safe as far as its parts are; holds no state between calls.
class TableChangeCoordinator {
 public:
  /// Lets time pass: the daemon sleeps, the simulator runs its events.
  using Waiter = std::function<void(Duration)>;

  /// All references outlive the coordinator.
  TableChangeCoordinator(ObjectStoreClient& platform, const Table& table, TableRole& role,
                         const MembershipView& membership, const Clock& clock, const Knobs& knobs,
                         Waiter waiter);

  /// Checks and stores the change and waits for its acceptance. Blocks for at most the knobs'
  /// tableStoreWait and tableAcceptanceWait and the platform's timeouts. Calling again with the
  /// same change id never stores twice and tells how the change stands.
  /// @return an error of kind kInvalidRequest, kForbidden or kTooLarge for a change that fails the
  ///     checks; kUnavailable if it was not stored; kOutcomeUnknown if that isn't known.
  Result<EditReport> change(const TableEdit& edit);

  /// Waits until a stored version is in force everywhere, and tells who lacks it otherwise.
  Result<EditReport> awaitAccepted(TableVersion version);

 private:
  /// A stored version, or the conflicts that kept it from being stored.
  struct StoreOutcome {
    TableVersion version;
    std::vector<RowConflict> conflicts;
  };
  Result<StoreOutcome> store(const TableEdit& edit);
  Result<CollectionRevision> storeBatch(const ChangeBatch& batch, Time deadline);
  std::vector<RowConflict> conflictsInPlatform(const TableEdit& edit);
  bool retryPause(Time deadline);
  std::set<NodeId> liveNodes(std::optional<std::vector<Machine>>& lastMachines);

  ObjectStoreClient& platform_;
  const Table& table_;
  TableRole& role_;
  const MembershipView& membership_;
  const Clock& clock_;
  const Knobs knobs_;
  const Waiter waiter_;
};

}  // namespace fernmoor
