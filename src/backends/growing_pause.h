/// @file
/// Exponential backoff with jitter for a call that fails. The upper limit doubles with each failure
/// up to a maximum, and each pause is drawn at random between half of the limit and the limit, so
/// that nodes do not retry in lockstep.
#pragma once

#include <algorithm>

#include "common/random.h"
#include "common/time.h"

namespace fernmoor {

/// Not thread-safe.
class Backoff {
 public:
  Backoff(Duration first, Duration longest, uint64_t seed)
      : first_(first), longest_(longest), next_(first), random_(seed) {}

  /// @return the time to wait before the next attempt.
  Duration afterFailure() {
    const Duration pause = random_.between(next_ / 2, next_);
    next_ = std::min(longest_, next_ * 2);
    return pause;
  }
  void afterSuccess() { next_ = first_; }

 private:
  Duration first_;
  Duration longest_;
  Duration next_;
  Random random_;
};

}  // namespace fernmoor
