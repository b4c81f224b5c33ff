/// @file
/// Token bucket: a rate with a bound on how many may come at once.
#pragma once

#include "common/time.h"

namespace fernmoor {

/// Not thread-safe. A rate of 0 lets nothing pass once the burst is used up.
class TokenBucket {
 public:
  /// Starts full.
  TokenBucket(double ratePerSecond, double burst, Time now);

  /// Changes the rate and the burst from now on; tokens beyond the new burst are lost.
  void configure(double ratePerSecond, double burst, Time now);
  /// Takes so many tokens. @return false where there are fewer; then none is taken.
  bool tryTake(Time now, double count = 1.0);
  /// Takes as many tokens as there are, fractions included, up to `wanted`.
  /// @return how many were taken.
  double takeUpTo(double wanted, Time now);
  /// Takes so many tokens, also those that are not there yet.
  void charge(double count, Time now);
  /// @return time until the next token; 0 where there is one, the longest Duration at rate 0.
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
