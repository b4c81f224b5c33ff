#include "admission/retry_budget.h"

#include <algorithm>

namespace fernmoor {

namespace {

/// Keeps rounding errors of sums from refusing a retry.
constexpr double kTolerance = 1e-6;
/// Parts of a ratio. Saved tokens cover requests that fail together when engines crash; the larger
/// part covers failures that go on.
constexpr double kEarnedShare = 0.7;
constexpr double kSavedShare = 1.0 - kEarnedShare;

}  // namespace

RetryBudgetOptions splitRatio(double ratio) {
  RetryBudgetOptions options;
  options.earnedPerRequest = ratio * kEarnedShare;
  options.savedPerRequest = ratio * kSavedShare;
  return options;
}

RetryBudget::RetryBudget(const RetryBudgetOptions& options)
    : options_(options), requests_(options.window) {}

void RetryBudget::countRequest(Time now) {
  requests_.add(now);
  tokens_ = tokensAt(now) + options_.earnedPerRequest;
}

double RetryBudget::tokensAt(Time now) {
  const Duration elapsed = now - earnedAt_.value_or(now);
  earnedAt_ = now;
  tokens_ += options_.earnedPerSecond * toSeconds(elapsed);
  const double capacity =
      options_.savedAlways + options_.savedPerRequest * static_cast<double>(requests_.countAt(now));
  tokens_ = std::min(tokens_, capacity);
  return tokens_;
}

bool RetryBudget::tryRetry(Time now) {
  if (tokensAt(now) + kTolerance < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace fernmoor
