/// @file
/// Token bucket: limits a rate while allowing bursts up to a fixed size.
#pragma once

#include "common/time.h"

namespace fernmoor {

/// Not thread-safe. At rate 0 nothing passes once the burst is used up.
class TokenBucket {
 public:
  /// Starts full.
  TokenBucket(double ratePerSecond, double burst, Time now);

  /// Changes the rate and the burst from now on; tokens beyond the new burst are lost.
  void configure(double ratePerSecond, double burst, Time now);
  /// Takes `count` tokens. @return false, taking none, if fewer are available.
  bool tryTake(Time now, double count = 1.0);
  /// Takes the available tokens, including fractions, up to `wanted`.
  /// @return how many were taken.
  double takeUpTo(double wanted, Time now);
  /// Takes `count` tokens unconditionally; the balance may become negative.
  void charge(double count, Time now);
  /// @return time until a whole token is available; 0 if one is, Duration::max() at rate 0.
  Duration timeUntilToken(Time now) const;
  double tokens(Time now) const;

 private:
  void refill(Time now);

  double ratePerSecond_;
  double burst_;
  double tokens_;
  Time refilledAt_;
};

}  // namespace fernmoor
