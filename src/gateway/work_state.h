/// @file
/// Graceful shutdown: whether this process accepts new requests, and when it may exit.
///
/// Callers need some time after the stop signal to be routed to other nodes, so requests are still
/// accepted for a while. Each must have enough time to end before the process is killed.
#pragma once

#include <atomic>
#include <mutex>
#include <optional>

#include "common/time.h"

namespace fernmoor::gateway {

/// Times of a graceful shutdown, measured from the stop signal.
struct StopTimes {
  Duration leaveAfter{3200000};  ///< Before this, callers may not know that the node stops.
  Duration takeFor{2850000};     ///< Requests that arrive later are refused.
  Duration endBy{7700000};       ///< Requests still running then are aborted.
};

/// @param grace from the stop signal until the process is killed.
/// @return the times of a shutdown that leave the last accepted request most of the grace period.
StopTimes stopTimesFor(Duration grace);

/// Thread-safe.
class WorkState {
 public:
  explicit WorkState(StopTimes times) : times_(times) {}

  void stop(Time now);
  bool isStopping() const { return stopping_; }
  /// @return whether a request that arrives now is served.
  bool takesWork(Time now) const;
  /// @return whether the process may exit: all requests have ended and callers have been routed to
  ///         other nodes, or the time for the shutdown is over.
  bool mayEnd(Time now) const;
  /// @return whether the time for the shutdown is over, even if requests are still running.
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
