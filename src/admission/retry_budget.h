/// @file
/// Limits the router's own retries to a fraction of the requests it receives. Modelled on the retry
/// budgets of Finagle and of Google's SRE book, chapter 21.
#pragma once

#include "common/knobs.h"
#include "common/time.h"
#include "routing/decaying_rate.h"

namespace fernmoor {

/// Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const Knobs& knobs);

  /// Counts a first attempt.
  void countRequest(Time now);
  /// @return true if the budget allows a retry; the retry is then counted.
  bool tryRetry(Time now);

 private:
  double ratio_;
  double minimumPerSecond_;
  DecayingRate requests_;
  DecayingRate retries_;
};

}  // namespace fernmoor
