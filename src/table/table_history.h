/// @file
/// The last changes of the table, kept for peers that are a little behind.
#pragma once

#include <deque>

#include "common/knobs.h"
#include "table.pb.h"
#include "table/table.h"

namespace fernmoor {

/// Consecutive changes up to the version in force, bounded in count and bytes; the oldest are
/// dropped first. Not thread-safe.
class TableHistory {
 public:
  explicit TableHistory(const Knobs& knobs) : knobs_(knobs) {}

  /// Appends the change that follows the last one.
  void append(const TableChange& change);
  /// Forgets all changes: the version came by a snapshot.
  void restartAt(TableVersion version);
  /// @return whether every change after the version is kept.
  bool covers(TableVersion after) const;
  /// Adds the changes after the version, which must be covered: at least one if there is one, and
  /// otherwise as many as fit.
  void fill(TableVersion after, size_t maxBytes, proto::TableChanges& message) const;
  size_t size() const { return changes_.size(); }

 private:
  struct Kept {
    proto::TableChange change;
    size_t bytes;
  };
  void trim();

  Knobs knobs_;
  TableVersion last_;
  std::deque<Kept> changes_;
  size_t bytes_ = 0;
};

}  // namespace fernmoor
