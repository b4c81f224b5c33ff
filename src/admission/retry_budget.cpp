#include "admission/retry_budget.h"

namespace fernmoor {

namespace {

/// Requests of about this long ago still earn retries.
constexpr Duration kHalfLife{5000000};

}  // namespace

RetryBudget::RetryBudget(const Knobs& knobs)
    : ratio_(knobs.retryRatio), alwaysPerSecond_(knobs.retriesPerSecondAlways) {}

void RetryBudget::countRequest(Time now) {
  requests_.add(1.0, now, kHalfLife);
}

bool RetryBudget::tryRetry(Time now) {
  const double earned = requests_.weightAt(now, kHalfLife) * ratio_;
  const double always = alwaysPerSecond_ * toSeconds(kHalfLife);
  if (retries_.weightAt(now, kHalfLife) + 1.0 > earned + always) {
    return false;
  }
  retries_.add(1.0, now, kHalfLife);
  return true;
}

}  // namespace fernmoor
