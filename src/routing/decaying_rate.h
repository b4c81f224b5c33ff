/// @file
/// A rate of events with exponential decay: recent ones count most, and nothing has to be stored
/// for each event.
#pragma once

#include <algorithm>

#include "common/decay.h"

namespace fernmoor {

/// Not thread-safe.
class DecayingRate {
 public:
  /// Counts `amount` events; the weight of former ones halves in each `halfLife`.
  void add(double amount, Time now, Duration halfLife) {
    weight_ = weightAt(now, halfLife) + amount;
    updatedAt_ = std::max(updatedAt_, now);
  }

  /// @return events a second.
  double perSecond(Time now, Duration halfLife) const {
    return weightAt(now, halfLife) / (toSeconds(halfLife) * kHalfLifeIntegral);
  }

  /// @return the decayed number of events.
  double weightAt(Time now, Duration halfLife) const {
    return weight_ * decayOver(std::max(Duration(0), now - updatedAt_), halfLife);
  }

 private:
  /// Integral of 2^-t over all time.
  static constexpr double kHalfLifeIntegral = 1.4426950408889634;

  double weight_ = 0;
  Time updatedAt_;
};

}  // namespace fernmoor
