/// @file
/// Observations that fade: recent ones count most, and nothing has to be stored for each.
#pragma once

#include <cmath>

#include "common/time.h"

namespace fernmoor {

/// @return the part that is left after so long of what halves in each `halfLife`.
inline double decayOver(Duration age, Duration halfLife) {
  return std::exp2(-toSeconds(age) / toSeconds(halfLife));
}

/// Amounts and the times that they took, as sums that fade alike, so that their quotient is the
/// recent rate. Plain data.
struct DecayingQuotient {
  double amount = 0;
  double seconds = 0;
  Time at;  ///< When it was added to last.

  DecayingQuotient fadedTo(Time now, Duration halfLife) const {
    const double left = decayOver(now - at, halfLife);
    return DecayingQuotient{amount * left, seconds * left, now};
  }
  void add(double newAmount, double newSeconds, Time now, Duration halfLife) {
    *this = fadedTo(now, halfLife);
    amount += newAmount;
    seconds += newSeconds;
  }
};

}  // namespace fernmoor
