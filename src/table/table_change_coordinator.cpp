#include "table/table_change_coordinator.h"

#include <algorithm>
#include <utility>

#include "table/platform_table.h"
#include "table/row_codec.h"

namespace fernmoor {

namespace {

Error notStored(const std::string& reason, Duration retryAfter) {
  return Error{ErrorKind::kUnavailable,
               "the change was not stored (" + reason + "); try again with the same change id.",
               RunState::kNotRun, retryAfter};
}

Error outcomeUnknown(const ChangeId& changeId, Duration retryAfter) {
  return Error{ErrorKind::kOutcomeUnknown,
               "whether the change " + changeId.value() +
                   " was stored is not known, since the platform's answer was lost and it can't be "
                   "asked; send the change again with the same id once the platform is back.",
               RunState::kUnknown, retryAfter};
}

bool isUnknown(const Error& error) {
  return error.runState == RunState::kUnknown;
}

/// @return the row that the object holds, or none where there is no valid one.
std::optional<Row> rowOf(const Result<PlatformObject>& object) {
  if (!isOk(object)) {
    return std::nullopt;
  }
  Result<Row> row = rowFromJsonText(valueOf(object).valueJson);
  if (!isOk(row)) {
    return std::nullopt;
  }
  valueOf(row).rowVersion = valueOf(object).version.value();
  return std::move(valueOf(row));
}

}  // namespace

TableChangeCoordinator::TableChangeCoordinator(ObjectStoreClient& platform, const Table& table,
                                               TableRole& role, const MembershipView& membership,
                                               const Clock& clock, const Knobs& knobs,
                                               Waiter waiter)
    : platform_(platform),
      table_(table),
      role_(role),
      membership_(membership),
      clock_(clock),
      knobs_(knobs),
      waiter_(std::move(waiter)) {}

Result<EditReport> TableChangeCoordinator::change(const TableEdit& edit) {
  const Result<Done> checked = checkEdit(edit);
  if (!isOk(checked)) {
    return errorOf(checked);
  }
  Result<StoreOutcome> stored = store(edit);
  if (!isOk(stored)) {
    return errorOf(stored);
  }
  StoreOutcome& outcome = valueOf(stored);
  if (!outcome.conflicts.empty()) {
    EditReport report;
    report.standing = EditStanding::kConflict;
    report.conflicts = std::move(outcome.conflicts);
    return report;
  }
  return awaitAccepted(outcome.version);
}

// --- storing

/// @return whether there was time for a pause.
bool TableChangeCoordinator::retryPause(Time deadline) {
  if (clock_.now() >= deadline) {
    return false;
  }
  waiter_(knobs_.tableStoreRetryInterval);
  return true;
}

Result<TableChangeCoordinator::StoreOutcome> TableChangeCoordinator::store(const TableEdit& edit) {
  const Time deadline = clock_.now() + knobs_.tableStoreWait;
  const auto former = platform_.findChange(tableCollection(), edit.changeId);
  if (isOk(former)) {
    return StoreOutcome{TableVersion(valueOf(former).value()), {}};
  }
  if (errorOf(former).kind != ErrorKind::kNotFound) {
    return notStored(errorOf(former).message, knobs_.tableStoreWait);
  }
  do {
    const Table::Snapshot snapshot = table_.current();
    if (snapshot->version() < edit.baseVersion) {
      continue;  // The operator looked at a node that is ahead of this one.
    }
    auto conflicts = findConflicts(*snapshot, edit);
    if (!conflicts.empty()) {
      return StoreOutcome{{}, std::move(conflicts)};
    }
    const Result<Done> checked = checkEditedTable(*snapshot, edit, knobs_);
    if (!isOk(checked)) {
      return errorOf(checked);
    }
    const auto stored = storeBatch(makeBatch(*snapshot, edit), deadline);
    if (isOk(stored)) {
      return StoreOutcome{TableVersion(valueOf(stored).value()), {}};
    }
    if (errorOf(stored).kind != ErrorKind::kConflict) {
      return errorOf(stored);
    }
    conflicts = conflictsInPlatform(edit);
    if (!conflicts.empty()) {
      return StoreOutcome{{}, std::move(conflicts)};
    }
    // Another row changed; the checks are done again on the table with it.
  } while (retryPause(deadline));
  return notStored("this node's table stays behind the platform's", knobs_.tableStoreWait);
}

/// Sends the batch until its outcome is known. Sending it again is safe: one change id is applied
/// once, and a first sending that arrives late fails on the expected revision.
Result<CollectionRevision> TableChangeCoordinator::storeBatch(const ChangeBatch& batch,
                                                              Time deadline) {
  bool unknown = false;
  std::string reason;
  do {
    Result<CollectionRevision> applied = platform_.apply(tableCollection(), batch);
    if (isOk(applied) || errorOf(applied).kind == ErrorKind::kConflict) {
      return applied;
    }
    unknown = unknown || isUnknown(errorOf(applied));
    reason = errorOf(applied).message;
    Result<CollectionRevision> found = platform_.findChange(tableCollection(), batch.changeId);
    if (isOk(found)) {
      return found;
    }
  } while (retryPause(deadline));
  return unknown ? outcomeUnknown(batch.changeId, knobs_.tableStoreWait)
                 : notStored(reason, knobs_.tableStoreWait);
}

std::vector<RowConflict> TableChangeCoordinator::conflictsInPlatform(const TableEdit& edit) {
  std::vector<RowConflict> conflicts;
  for (const RowEdit& rowEdit : edit.rows) {
    const auto object = platform_.get(tableCollection(), ObjectName(rowObjectName(rowEdit.key)));
    if (!isOk(object) && errorOf(object).kind != ErrorKind::kNotFound) {
      continue;
    }
    const std::optional<Row> theirs = rowOf(object);
    auto conflict = findConflict(rowEdit, edit.baseVersion, theirs ? &*theirs : nullptr);
    if (conflict) {
      conflicts.push_back(std::move(*conflict));
    }
  }
  return conflicts;
}

// --- acceptance

/// Members, and machines that the platform lists as live: a node that is cut off from this one is
/// no member any more but may serve callers in its zone all the same.
std::set<NodeId> TableChangeCoordinator::liveNodes(
    std::optional<std::vector<Machine>>& lastMachines) {
  Result<std::vector<Machine>> machines = platform_.machines();
  if (isOk(machines)) {
    lastMachines = std::move(valueOf(machines));
  }
  std::set<NodeId> nodes;
  for (const Member& member : membership_.members()) {
    nodes.insert(member.life.node);
  }
  for (const Machine& machine : lastMachines.value_or(std::vector<Machine>())) {
    const bool isLiveNode = machine.kind == MachineKind::kNode &&
                            machine.status == MachineStatus::kLive && machine.node != NodeId();
    if (isLiveNode) {
      nodes.insert(machine.node);
    }
  }
  return nodes;
}

Result<EditReport> TableChangeCoordinator::awaitAccepted(TableVersion version) {
  const Time deadline = clock_.now() + knobs_.tableAcceptanceWait;
  std::optional<std::vector<Machine>> machines;
  const Result<AcceptancePollId> poll = role_.startAcceptance(version, clock_.now());
  if (!isOk(poll)) {
    return errorOf(poll);
  }
  EditReport report;
  report.version = version;
  do {
    const std::set<NodeId> live = liveNodes(machines);
    role_.setAcceptanceNodes(valueOf(poll), {live.begin(), live.end()});
    waiter_(knobs_.tableAcceptanceInterval);
    report.lacking = role_.lacking(valueOf(poll));
    report.machineListRead = machines.has_value();
    if (report.lacking.empty() && report.machineListRead) {
      report.standing = EditStanding::kAccepted;
    }
  } while (report.standing != EditStanding::kAccepted && clock_.now() < deadline);
  role_.stopAcceptance(valueOf(poll));
  return report;
}

}  // namespace fernmoor
