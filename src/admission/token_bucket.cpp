#include "admission/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace fernmoor {

namespace {

/// In tokens; keeps the rounding errors of many small refills from costing a whole token.
constexpr double kTolerance = 1e-9;

}  // namespace

TokenBucket::TokenBucket(double ratePerSecond, double burst, Time now)
    : ratePerSecond_(ratePerSecond), burst_(burst), tokens_(burst), refilledAt_(now) {}

void TokenBucket::configure(double ratePerSecond, double burst, Time now) {
  refill(now);
  ratePerSecond_ = ratePerSecond;
  burst_ = burst;
  tokens_ = std::min(tokens_, burst);
}

double TokenBucket::tokens(Time now) const {
  const double age = std::max(0.0, toSeconds(now - refilledAt_));
  return std::min(burst_, tokens_ + age * ratePerSecond_);
}

void TokenBucket::refill(Time now) {
  tokens_ = tokens(now);
  refilledAt_ = std::max(refilledAt_, now);
}

bool TokenBucket::tryTake(Time now, double count) {
  refill(now);
  if (tokens_ + kTolerance < count) {
    return false;
  }
  tokens_ -= count;
  return true;
}

double TokenBucket::takeUpTo(double wanted, Time now) {
  refill(now);
  const double taken = std::clamp(wanted, 0.0, std::max(0.0, tokens_));
  tokens_ -= taken;
  return taken;
}

void TokenBucket::charge(double count, Time now) {
  refill(now);
  tokens_ -= count;
}

Duration TokenBucket::timeUntilToken(Time now) const {
  const double missing = 1.0 - tokens(now);
  if (missing <= kTolerance) {
    return Duration(0);
  }
  if (ratePerSecond_ <= 0) {
    return Duration::max();
  }
  return Duration(static_cast<int64_t>(std::ceil(missing / ratePerSecond_ * 1e6)));
}

}  // namespace fernmoor
