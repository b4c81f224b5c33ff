/// @file
/// When this process last stood still. What a process finds on its sockets after a standstill came
/// at some time in it, so it may not be dated by the moment at which it is read.
#pragma once

#include <mutex>

#include "common/time.h"

namespace fernmoor {

/// Thread-safe.
class Standstills {
 public:
  /// Called several times a second, as long as the process runs.
  void tick(Time now);
  /// @return the last instant up to which the process is known to have run steadily: `now`, or the
  ///         beginning of a standstill that ended a moment ago, if it has.
  Time ranUntil(Time now) const;

 private:
  mutable std::mutex mutex_;
  Time lastTick_;  ///< Time(): there was none.
  Time stoodFrom_;
  Time resumedAt_;
};

}  // namespace fernmoor
