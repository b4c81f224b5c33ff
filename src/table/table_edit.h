/// @file
/// An operator's change of the table: what it wants, the checks before it is stored, and what is
/// told when somebody else was first. Pure functions.
#pragma once

#include <optional>
#include <vector>

#include "common/knobs.h"
#include "objectstore/object_store_client.h"
#include "table/table.h"

namespace fernmoor {

/// One row that the operator sets or removes.
struct RowEdit {
  RowKey key;
  std::optional<Row> mine;  ///< The row wanted; none: remove it.
  std::optional<Row> base;  ///< The row as the operator saw it; none: there was none.
};

/// Rows changed together: all of them, or none.
struct TableEdit {
  ChangeId changeId;         ///< Unique; the same id never changes the table twice.
  TableVersion baseVersion;  ///< Version of the table that the operator saw.
  std::vector<RowEdit> rows;
  std::optional<TenantId> onlyTenant;  ///< Set for an operator who may edit one tenant's rows only.
};

/// Both sides of a race about one row.
struct RowConflict {
  RowKey key;
  std::optional<Row> base;
  std::optional<Row> mine;
  std::optional<Row> theirs;
};

/// Checks the edit by itself: rows valid, each given once, keys kept, tenant allowed.
Result<Done> checkEdit(const TableEdit& edit);
/// Checks the table that the edit would make.
Result<Done> checkEditedTable(const TableSnapshot& snapshot, const TableEdit& edit,
                              const Knobs& knobs);
/// @return the conflict if the row as it is now is not the one that the edit is based on.
std::optional<RowConflict> findConflict(const RowEdit& edit, TableVersion baseVersion,
                                        const Row* present);
/// @return every conflict with the snapshot.
std::vector<RowConflict> findConflicts(const TableSnapshot& snapshot, const TableEdit& edit);
/// @return the platform's batch; it takes effect only if the table is still as in the snapshot, so
///     that one which arrives late can do no harm.
ChangeBatch makeBatch(const TableSnapshot& snapshot, const TableEdit& edit);

}  // namespace fernmoor
