#include "admission/retry_budget.h"

namespace fernmoor {

namespace {

/// Half-life (5 s) of the request and retry counts; older requests contribute little to the budget.
constexpr Duration kHalfLife{5000000};

}  // namespace

RetryBudget::RetryBudget(const Knobs& knobs)
    : ratio_(knobs.retryRatio), minimumPerSecond_(knobs.retriesPerSecondAlways) {}

void RetryBudget::countRequest(Time now) {
  requests_.add(1.0, now, kHalfLife);
}

bool RetryBudget::tryRetry(Time now) {
  const double earned = requests_.weightAt(now, kHalfLife) * ratio_;
  const double minimum = minimumPerSecond_ * toSeconds(kHalfLife);
  if (retries_.weightAt(now, kHalfLife) + 1.0 > earned + minimum) {
    return false;
  }
  retries_.add(1.0, now, kHalfLife);
  return true;
}

}  // namespace fernmoor
