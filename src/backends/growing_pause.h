/// @file
/// Pauses between tries of a call that fails: each is up to twice the one before, and drawn at
/// random between half of it and the whole, so that many nodes do not try in step.
#pragma once

#include <algorithm>

#include "common/random.h"
#include "common/time.h"

namespace fernmoor {

/// Not thread-safe.
class GrowingPause {
 public:
  GrowingPause(Duration first, Duration longest, uint64_t seed)
      : first_(first), longest_(longest), next_(first), random_(seed) {}

  /// @return how long to wait before the next try.
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
