/// @file
/// The table in force on this node and the proof of how new it is. Versions never go back within
/// one life of the process.
///
/// The proof is the instant at which the newest question to the rows' store *began* whose answer
/// showed nothing newer: whatever was acknowledged before that instant is in force here. It ages by
/// the steady clock, so that a process that was stopped finds it old when it goes on.
#pragma once

#include <memory>
#include <mutex>
#include <optional>

#include "common/time.h"
#include "gateway/traffic_table.h"

namespace fernmoor::gateway {

/// The table at one moment, with the start of its proof.
struct TableView {
  TrafficTablePtr table;  ///< Null until the first one came.
  Time provenAt;          ///< Meaningless while there is no table.

  /// @return whether everything acknowledged up to `age` before now is in force.
  bool isFresh(Time now, Duration age) const { return table != nullptr && now - provenAt <= age; }
};

/// Thread-safe.
class TableInForce {
 public:
  /// Takes what a question that began at `askedAt` was answered with.
  /// @return whether the table replaced the one in force; an older version is ignored, and proves
  ///         nothing.
  bool take(TrafficTablePtr table, Time askedAt);
  /// A question that began at `askedAt` showed that the table in force is still the newest.
  void confirm(uint64_t version, Time askedAt);
  TableView view() const;

 private:
  mutable std::mutex mutex_;
  TableView view_;
};

}  // namespace fernmoor::gateway
