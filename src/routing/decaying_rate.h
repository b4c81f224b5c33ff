/// @file
/// Exponentially decaying event rate. Recent events weigh most, and no per-event state is kept.
#pragma once

#include <algorithm>

#include "common/decay.h"

namespace fernmoor {

/// Not thread-safe.
class DecayingRate {
 public:
  /// Counts `amount` events. The weight of earlier events halves every `halfLife`.
  void add(double amount, Time now, Duration halfLife) {
    weight_ = weightAt(now, halfLife) + amount;
    updatedAt_ = std::max(updatedAt_, now);
  }

  /// @return events per second.
  double perSecond(Time now, Duration halfLife) const {
    return weightAt(now, halfLife) / (toSeconds(halfLife) * kHalfLifeIntegral);
  }

  /// @return the decayed event count.
  double weightAt(Time now, Duration halfLife) const {
    return weight_ * decayOver(std::max(Duration(0), now - updatedAt_), halfLife);
  }

 private:
  /// Integral of 2^-t from 0 to infinity.
  static constexpr double kHalfLifeIntegral = 1.4426950408889634;

  double weight_ = 0;
  Time updatedAt_;
};

}  // namespace fernmoor
