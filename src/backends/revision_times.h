/// @file
/// How far the operators' store had come at which instants, by its one counter of changes. An
/// object that bears a later revision than the store had at an instant was written after it,
/// however late anybody is told: so what was written when is known without trusting how news
/// travel.
///
/// Revisions bear the store's era (common/store_revision.h). What it holds soon after it came back
/// from an old copy may have been written before and lost, and was acknowledged then: it is dated
/// by the last that is known of the era before.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>

#include "common/time.h"

namespace fernmoor {

/// What the store lost as it came back from an old copy is written again within this after that.
inline constexpr Duration kWrittenAgain{3000000};

/// The store had not gone beyond the revision at the instant.
struct RevisionTime {
  uint64_t revision = 0;
  Time at;
};

/// When the store came back from an old copy, as far as that is known.
struct EraChange {
  RevisionTime lastBefore;  ///< The latest that is known of the era before.
  Time seenAt;              ///< When the present era was seen first by any node.
};

/// Thread-safe.
class RevisionTimes {
 public:
  /// @param seen of an answer of the store: its revision, and when the call began; or the same as
  ///        another node knows it.
  void note(const RevisionTime& seen);
  /// @return an instant at which nothing with that revision was written yet, the latest that is
  ///         known; nothing if none is.
  std::optional<Time> notBefore(uint64_t revision) const;
  /// @return what is known of the latest instant.
  std::optional<RevisionTime> newest() const;
  /// Notes that another node told what it knows.
  void noteTold() { wasTold_ = true; }
  /// @return whether any other node told what it knows.
  bool wasTold() const { return wasTold_; }
  /// Notes an era change as another node knows it.
  /// @param era that began with it.
  void noteChange(uint64_t era, const EraChange& change);
  /// @return how the present era began; nothing where none is known before it.
  std::optional<EraChange> change() const;

 private:
  /// Call with the lock held.
  void noteChangeLocked(uint64_t era, const EraChange& change);

  std::atomic<bool> wasTold_{false};
  mutable std::mutex mutex_;
  std::deque<RevisionTime> times_;  ///< Rising in both.
  uint64_t changedTo_ = 0;          ///< The era that `change_` is of.
  std::optional<EraChange> change_;
};

}  // namespace fernmoor
