/// @file
/// How far the operators' store had come at which instants, by its one counter of changes. An
/// object that bears a later revision than the store had at an instant was written after it,
/// however late anybody is told: so what was written when is known without trusting how news
/// travel.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>

#include "common/time.h"

namespace fernmoor {

/// The store had not gone beyond the revision at the instant.
struct RevisionTime {
  uint64_t revision = 0;
  Time at;
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

 private:
  mutable std::mutex mutex_;
  std::deque<RevisionTime> times_;  ///< Rising in both.
};

}  // namespace fernmoor
