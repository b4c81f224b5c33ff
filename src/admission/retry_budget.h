/// @file
/// Limits retries to a fraction of the requests (retry budget; compare those of Finagle and of
/// Google's SRE book, chapter 21). The budget is a token bucket: requests add tokens, a retry takes
/// one. A process starts without tokens, because what its predecessors spent is not known. So the
/// retries of any number of processes, however often they are restarted or replaced, stay within
/// what their requests add and what they can save.
#pragma once

#include <optional>

#include "admission/sliding_count.h"
#include "common/time.h"

namespace fernmoor {

/// Over all processes, the retries in a time of the length `window` are at most the sum of
///   savedAlways * the number of processes that run at its start,
///   savedPerRequest * the requests in the window before it,
///   earnedPerRequest * the requests in it,
///   earnedPerSecond * the seconds in it * the number of processes that run at once.
struct RetryBudgetOptions {
  double earnedPerRequest = 0;  ///< Tokens added by each request.
  double earnedPerSecond = 0;   ///< Tokens added in each second, for light traffic.
  double savedPerRequest = 0;   ///< Tokens that may be saved for each request in the window.
  double savedAlways = 0;       ///< Tokens that may be saved beside them.
  Duration window{10000000};
};

/// @return options by which requests earn and save together at most `ratio` tokens each.
RetryBudgetOptions splitRatio(double ratio);

/// Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options);

  void setSavedAlways(double tokens) { options_.savedAlways = tokens; }
  /// Counts a first attempt.
  void countRequest(Time now);
  /// Takes a token for a retry.
  /// @return whether there was one.
  bool tryRetry(Time now);
  /// @return the tokens that are left.
  double tokensAt(Time now);

 private:
  RetryBudgetOptions options_;
  SlidingCount requests_;
  double tokens_ = 0;
  std::optional<Time> earnedAt_;  ///< Time up to which tokens were added; nothing before any use.
};

}  // namespace fernmoor
