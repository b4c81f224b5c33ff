/// @file
/// Bounds how often a watch asks. In a large deployment something changes all the time, so that a
/// watch that asks anew after each answer costs as many calls as there are changes; asked a few
/// times a second, it gets many changes with one answer. A change after a quiet time is not held
/// up.
#pragma once

#include <algorithm>
#include <optional>

#include "common/time.h"

namespace fernmoor {

/// Shortest time between two answers of one watch; the longest that a change is held up by it.
inline constexpr Duration kWatchInterval{150000};

/// Not thread-safe.
class WatchPace {
 public:
  /// @return how long to wait before the watch asks again after an answer.
  Duration afterAnswer(Time now) {
    const Time earliest = lastAnswer_ ? *lastAnswer_ + kWatchInterval : now;
    const Duration pause = std::max(Duration(0), earliest - now);
    lastAnswer_ = now + pause;
    return pause;
  }

 private:
  std::optional<Time> lastAnswer_;  ///< Of the last answer, its pause included.
};

}  // namespace fernmoor
