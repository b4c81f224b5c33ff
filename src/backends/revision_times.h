/// @file
/// Records which revision the operators' store had at which times. The store has one revision
/// counter for all changes, so an object with a higher revision than the store had at some time was
/// written after that time. This bounds the age of an object independently of how late a node
/// learns of it.
///
/// Revisions contain the store's era (common/store_revision.h). An object found soon after the
/// store was restored from an old copy may be a rewrite of one that was lost in the restore and had
/// been acknowledged earlier, so its age is counted from the last known time of the era before.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>

#include "common/time.h"

namespace fernmoor {

/// Objects lost when the store was restored from an old copy are written again within this time.
inline constexpr Duration kWrittenAgain{3000000};

/// At time `at` the store had at most this revision.
struct RevisionTime {
  uint64_t revision = 0;
  Time at;
};

/// What is known about a restore of the store from an old copy.
struct EraChange {
  RevisionTime lastBefore;  ///< The latest entry known from the era before.
  Time seenAt;              ///< When any node first saw the current era.
};

/// Thread-safe.
class RevisionTimes {
 public:
  /// Records a revision and a time.
  /// @param seen the revision in an answer of the store and the start time of the call, observed by
  ///        this node or another one.
  void note(const RevisionTime& seen);
  /// @return the latest known time at which that revision had not been written yet; nothing if no
  ///         such time is known.
  std::optional<Time> notBefore(uint64_t revision) const;
  /// @return the entry with the latest time.
  std::optional<RevisionTime> newest() const;
  /// Records that another node has shared its entries.
  void noteTold() { wasTold_ = true; }
  /// @return whether any other node has shared its entries.
  bool wasTold() const { return wasTold_; }
  /// Merges an era change reported by another node.
  /// @param era the era that began with it.
  void noteChange(uint64_t era, const EraChange& change);
  /// @return the start of the current era; nothing if no earlier era is known.
  std::optional<EraChange> change() const;

 private:
  /// Call with the lock held.
  void noteChangeLocked(uint64_t era, const EraChange& change);

  std::atomic<bool> wasTold_{false};
  mutable std::mutex mutex_;
  std::deque<RevisionTime> times_;  ///< Sorted; both revision and time rise.
  uint64_t changedTo_ = 0;          ///< The era that began with `change_`.
  std::optional<EraChange> change_;
};

}  // namespace fernmoor
