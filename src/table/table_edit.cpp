#include "table/table_edit.h"

#include <set>
#include <utility>

#include "table/row_codec.h"

namespace fernmoor {

namespace {

Error refused(ErrorKind kind, const std::string& message) {
  return Error{kind, message, RunState::kNotRun, std::nullopt};
}

Result<Done> checkRowEdit(const TableEdit& edit, const RowEdit& rowEdit) {
  if (edit.onlyTenant && rowEdit.key.tenant != *edit.onlyTenant) {
    return refused(ErrorKind::kForbidden,
                   "row " + describeRowKey(rowEdit.key) + " belongs to another tenant than " +
                       edit.onlyTenant->value() + "; leave it out or use that tenant's key.");
  }
  if (!rowEdit.mine) {
    return Done{};
  }
  if (!(rowEdit.mine->key == rowEdit.key)) {
    return refused(ErrorKind::kInvalidRequest, "row " + describeRowKey(rowEdit.key) +
                                                   " would become " +
                                                   describeRowKey(rowEdit.mine->key) +
                                                   "; remove the one and add the other instead.");
  }
  return checkRow(*rowEdit.mine);
}

}  // namespace

Result<Done> checkEdit(const TableEdit& edit) {
  if (edit.rows.empty() || edit.changeId.empty()) {
    return refused(ErrorKind::kInvalidRequest,
                   "a change needs an id and at least one row; give both.");
  }
  std::set<RowKey> keys;
  for (const RowEdit& rowEdit : edit.rows) {
    if (!keys.insert(rowEdit.key).second) {
      return refused(ErrorKind::kInvalidRequest,
                     "row " + describeRowKey(rowEdit.key) + " is given twice; keep one of them.");
    }
    Result<Done> checked = checkRowEdit(edit, rowEdit);
    if (!isOk(checked)) {
      return checked;
    }
  }
  return Done{};
}

Result<Done> checkEditedTable(const TableSnapshot& snapshot, const TableEdit& edit,
                              const Knobs& knobs) {
  TableChange change{snapshot.version(), edit.changeId.value(), {}};
  for (const RowEdit& rowEdit : edit.rows) {
    change.rows.push_back(RowChange{rowEdit.key, rowEdit.mine});
  }
  return checkTable(snapshot.apply(change)->rows(), static_cast<size_t>(knobs.tableMaxRows));
}

std::optional<RowConflict> findConflict(const RowEdit& edit, TableVersion baseVersion,
                                        const Row* present) {
  const bool sameExistence = (present != nullptr) == edit.base.has_value();
  const bool unchanged = present == nullptr || TableVersion(present->rowVersion) <= baseVersion;
  if (sameExistence && unchanged) {
    return std::nullopt;
  }
  RowConflict conflict{edit.key, edit.base, edit.mine, std::nullopt};
  if (present != nullptr) {
    conflict.theirs = *present;
  }
  return conflict;
}

std::vector<RowConflict> findConflicts(const TableSnapshot& snapshot, const TableEdit& edit) {
  std::vector<RowConflict> conflicts;
  for (const RowEdit& rowEdit : edit.rows) {
    auto conflict = findConflict(rowEdit, edit.baseVersion, snapshot.find(rowEdit.key));
    if (conflict) {
      conflicts.push_back(std::move(*conflict));
    }
  }
  return conflicts;
}

ChangeBatch makeBatch(const TableSnapshot& snapshot, const TableEdit& edit) {
  ChangeBatch batch;
  batch.changeId = edit.changeId;
  batch.expectedRevision = CollectionRevision(snapshot.version().value());
  for (const RowEdit& rowEdit : edit.rows) {
    const Row* present = snapshot.find(rowEdit.key);
    ObjectChange change;
    change.name = ObjectName(rowObjectName(rowEdit.key));
    change.expectedVersion = CollectionRevision(present == nullptr ? 0 : present->rowVersion);
    if (rowEdit.mine) {
      change.valueJson = rowToJsonText(*rowEdit.mine);
    }
    batch.changes.push_back(std::move(change));
  }
  return batch;
}

}  // namespace fernmoor
