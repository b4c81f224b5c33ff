/// @file
/// Limits the rate of a watch's long-poll requests. In a large deployment changes are continuous,
/// and a watch that asks again right after each answer needs one call per change. At a few calls
/// per second each answer carries many changes. A change after a quiet period is not delayed.
#pragma once

#include <algorithm>
#include <optional>

#include "common/time.h"

namespace fernmoor {

/// Shortest time between two answers of one watch, and thus the longest delay it adds to a change.
inline constexpr Duration kWatchInterval{150000};

/// Not thread-safe.
class WatchRateLimiter {
 public:
  /// @return the time to wait after an answer before the watch asks again.
  Duration afterAnswer(Time now) {
    const Time earliest = lastAnswer_ ? *lastAnswer_ + kWatchInterval : now;
    const Duration pause = std::max(Duration(0), earliest - now);
    lastAnswer_ = now + pause;
    return pause;
  }

 private:
  std::optional<Time> lastAnswer_;  ///< Time of the last answer, including the pause after it.
};

}  // namespace fernmoor
