/// @file
/// The table in force on this node and the time of its last confirmed read. The version never
/// decreases within one incarnation of the process.
///
/// The time of the last confirmed read is when the newest read of the rows' store *began* whose
/// answer showed no newer table: everything acknowledged before that time is in force here. Its age
/// is measured by the steady clock, so a process that was paused finds it old when it resumes.
#pragma once

#include <memory>
#include <mutex>
#include <optional>

#include "common/time.h"
#include "gateway/traffic_table.h"

namespace fernmoor::gateway {

/// A snapshot of the table and the time of its last confirmed read.
struct TableView {
  TrafficTablePtr table;  ///< Null until the first table arrives.
  Time confirmedAt;       ///< Start of the last confirmed read; meaningless without a table.

  /// @return whether everything acknowledged at least `age` before `now` is in force.
  bool isFresh(Time now, Duration age) const {
    return table != nullptr && now - confirmedAt <= age;
  }
};

/// Thread-safe.
class TableInForce {
 public:
  /// Processes the table returned by a read that began at `askedAt`.
  /// @return whether the table replaced the one in force. An older version is ignored and confirms
  ///         nothing.
  bool take(TrafficTablePtr table, Time askedAt);
  /// Records that a read that began at `askedAt` showed `version` to be the newest. Ignored if the
  /// table in force has another version.
  void confirm(uint64_t version, Time askedAt);
  TableView view() const;

 private:
  mutable std::mutex mutex_;
  TableView view_;
};

}  // namespace fernmoor::gateway
