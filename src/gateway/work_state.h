/// @file
/// Whether this process takes new work, and what it still has to do: the planned stop.
///
/// After the order to stop, callers need a moment to be led elsewhere, so requests are still taken
/// for a while; each must have the time to end before the process is killed.
#pragma once

#include <atomic>
#include <mutex>
#include <optional>

#include "common/time.h"

namespace fernmoor::gateway {

/// Times of a planned stop, from the order on.
struct StopTimes {
  Duration leaveAfter{3200000};  ///< Until then callers may not know that we stop.
  Duration takeFor{2850000};     ///< Requests that come later are refused.
  Duration endBy{7700000};       ///< Requests that still run then are broken off.
};

/// Thread-safe.
class WorkState {
 public:
  explicit WorkState(StopTimes times) : times_(times) {}

  void stop(Time now);
  bool isStopping() const { return stopping_; }
  /// @return whether a request that comes now is served.
  bool takesWork(Time now) const;
  /// @return whether the process may end: all is answered and callers were led elsewhere, or the
  ///         time is over.
  bool mayEnd(Time now) const;
  /// @return whether the time of a stop is over, whatever still runs.
  bool isTimeOver(Time now) const;
  int active() const { return active_; }

  /// Counts one request while it lives.
  class Guard {
   public:
    explicit Guard(WorkState& state) : state_(state) { ++state_.active_; }
    ~Guard() { --state_.active_; }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;

   private:
    WorkState& state_;
  };

 private:
  StopTimes times_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> active_{0};
  mutable std::mutex mutex_;
  Time stoppedAt_;  ///< Meaningful once stopping_ is set; guarded by mutex_.
};

}  // namespace fernmoor::gateway
