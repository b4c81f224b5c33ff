/// @file
/// The table in force on this node: immutable snapshots, exchanged as a whole, each for a newer
/// version. Readers never wait for a writer and keep the snapshot that they took.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "table/persistent_rows.h"
#include "table/row.h"

namespace fernmoor {

/// One row set or removed.
struct RowChange {
  RowKey key;
  std::optional<Row> row;  ///< None: removed.
};

/// All that one version changed.
struct TableChange {
  TableVersion version;
  std::string changeId;
  std::vector<RowChange> rows;
};

/// All rows of one version. Immutable and thread-safe.
class TableSnapshot {
 public:
  /// Version 0: no row.
  TableSnapshot() = default;
  TableSnapshot(TableVersion version, std::vector<Row> rows);

  TableVersion version() const { return version_; }
  size_t size() const { return rows_.size(); }
  /// @return the row, or null; valid as long as the snapshot is held. O(log n).
  const Row* find(const RowKey& key) const { return rows_.find(key); }
  /// @return the tenant's rows by service; valid as long as the snapshot is held.
  std::vector<const Row*> rowsOfTenant(const TenantId& tenant) const;
  /// Visits rows by tenant and service, beginning at the first not before `from`, while the visitor
  /// returns true.
  void visitFrom(const RowKey& from, const PersistentRows::Visitor& visitor) const;
  /// @return copies of all rows.
  std::vector<Row> rows() const;
  /// @return the snapshot of the change's version. Costs O(log n) for each changed row.
  std::shared_ptr<const TableSnapshot> apply(const TableChange& change) const;

 private:
  TableVersion version_;
  PersistentRows rows_;
};

/// Holder of the snapshot in force. Thread-safe; takes no ranked lock, so that it may be read while
/// any lock is held.
class Table {
 public:
  using Snapshot = std::shared_ptr<const TableSnapshot>;

  /// @return the snapshot in force; of version 0 before the first one came.
  Snapshot current() const;
  TableVersion version() const { return current()->version(); }
  /// Puts the change in force if it is the one that follows the version in force.
  /// @return whether it was applied; false for an old or a later one.
  bool apply(const TableChange& change);
  /// Puts the snapshot in force if its version is newer than the one in force.
  /// @return whether it was.
  bool replace(const Snapshot& snapshot);

 private:
  Snapshot current_ = std::make_shared<const TableSnapshot>();
};

}  // namespace fernmoor
