/// @file
/// Bound on the retries that the router adds by itself, as a share of the requests it takes.
/// Source of the idea: the retry budgets of Finagle and of Google's SRE book, chapter 21.
#pragma once

#include "common/knobs.h"
#include "common/time.h"
#include "routing/decaying_rate.h"

namespace fernmoor {

/// Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const Knobs& knobs);

  /// Counts a first try.
  void countRequest(Time now);
  /// @return true where a retry fits the budget; it is then counted.
  bool tryRetry(Time now);

 private:
  double ratio_;
  double alwaysPerSecond_;
  DecayingRate requests_;
  DecayingRate retries_;
};

}  // namespace fernmoor
