/// @file
/// Both ends of a paged transfer of one version's rows.
#pragma once

#include <optional>
#include <vector>

#include "common/knobs.h"
#include "table.pb.h"
#include "table/table.h"

namespace fernmoor {

/// Sender's end: keeps the versions that peers are taking, for a while and only a few; they share
/// all unchanged rows with the version in force. Not thread-safe.
class SnapshotArchive {
 public:
  explicit SnapshotArchive(const Knobs& knobs) : knobs_(knobs) {}

  /// @param current the snapshot in force.
  /// @return the page asked for, or the first page of the version in force where the version asked
  ///     for is no longer kept.
  proto::TableSnapshotPage answer(const proto::TableSnapshotRequest& request,
                                  const Table::Snapshot& current, Time now);
  /// Drops versions that nobody asked for in a while.
  void expire(Time now);
  size_t size() const { return kept_.size(); }

 private:
  struct Kept {
    Table::Snapshot snapshot;
    Time lastUse;
  };
  Table::Snapshot find(TableVersion version) const;
  void keep(const Table::Snapshot& snapshot, Time now);

  Knobs knobs_;
  std::vector<Kept> kept_;  ///< The one used last at the end.
};

/// Receiver's end: collects the pages of one version. Pages of one version are the same from every
/// sender, so the transfer may go on at another peer. Not thread-safe.
class SnapshotReceipt {
 public:
  /// Takes a page; a page out of turn or of another version changes nothing, but the first page of
  /// a newer version starts anew.
  /// @return the whole snapshot after the last page.
  Result<std::optional<Table::Snapshot>> take(const proto::TableSnapshotPage& page);
  /// @return the request for the page that comes next.
  proto::TableSnapshotRequest nextRequest() const;
  /// @return the version being collected; 0 before the first page.
  TableVersion version() const { return version_; }
  /// Forgets the pages.
  void reset() { *this = SnapshotReceipt(); }

 private:
  bool isNext(const proto::TableSnapshotPage& page) const;

  TableVersion version_;
  std::vector<Row> rows_;
  RowKey lastKey_;
};

}  // namespace fernmoor
