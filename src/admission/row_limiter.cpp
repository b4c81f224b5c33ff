#include "admission/row_limiter.h"

#include <sstream>

namespace fernmoor {

namespace {

/// Retry-After (500 ms) when requests in flight have to end first; their duration is not known
/// here.
constexpr Duration kConcurrencyRetryAfter{500000};

Error limitError(const std::string& message, Duration retryAfter) {
  return Error{ErrorKind::kRateLimited, message, RunState::kNotRun, retryAfter};
}

}  // namespace

Error rateLimitError(const RowLimits& limits, Duration retryAfter) {
  std::ostringstream message;
  if (limits.row.service.value().empty()) {
    message << "tenant " << limits.row.tenant;
  } else {
    message << "service " << limits.row.service;
  }
  message << " is over its limit of " << limits.ratePerSecond << " " << toString(limits.unit)
          << " a second; send it again after the time in Retry-After, or ask your operator to "
             "raise the rate.";
  return limitError(message.str(), retryAfter);
}

Error concurrencyLimitError(const RowLimits& limits, Duration retryAfter) {
  std::ostringstream message;
  message << "service " << limits.row.service << " has its " << limits.concurrency
          << " requests in flight already; send it again after the time in Retry-After, or ask "
             "your operator to raise the row's concurrency.";
  return limitError(message.str(), retryAfter);
}

Result<Done> LocalRowLimiter::tryAcquire(const RowLimits& limits, double cost, Time now) {
  const auto added = entries_.try_emplace(
      limits.row, Entry{TokenBucket(limits.ratePerSecond, limits.burst, now), ConcurrencyLimit(0)});
  Entry& entry = added.first->second;
  entry.concurrency.setLimit(limits.concurrency);
  entry.bucket.configure(limits.ratePerSecond, limits.burst, now);
  if (!entry.concurrency.tryAcquire()) {
    return concurrencyLimitError(limits, kConcurrencyRetryAfter);
  }
  if (limits.ratePerSecond > 0 && !entry.bucket.tryTake(now, cost)) {
    entry.concurrency.release();
    return rateLimitError(limits, entry.bucket.timeUntilToken(now));
  }
  return Done{};
}

void LocalRowLimiter::release(const RowKey& row, Time now) {
  const auto found = entries_.find(row);
  if (found != entries_.end()) {
    found->second.concurrency.release();
  }
}

int64_t LocalRowLimiter::inFlight(const RowKey& row) const {
  const auto found = entries_.find(row);
  return found == entries_.end() ? 0 : found->second.concurrency.inFlight();
}

}  // namespace fernmoor
