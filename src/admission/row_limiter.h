/// @file
/// Interface for rate and concurrency limits of rows, and an implementation local to one node.
#pragma once

#include <map>

#include "admission/admission_request.h"
#include "admission/concurrency_limit.h"
#include "admission/token_bucket.h"

namespace fernmoor {

/// Decides whether a row's limits admit one more request. Called with the admission lock held.
class RowLimiter {
 public:
  virtual ~RowLimiter() = default;
  /// Counts the request against the row's rate and concurrency.
  /// @param cost in the unit of the rate: 1 if requests are counted, otherwise e.g. tokens.
  /// @return an error of kind kRateLimited with a Retry-After if a limit is exceeded.
  virtual Result<Done> tryAcquire(const RowLimits& limits, double cost, Time now) = 0;
  /// Frees the concurrency slot of a request that ended, was rejected by the queue, or lost its
  /// caller.
  virtual void release(const RowKey& row, Time now) = 0;
};

/// Enforces limits on this node alone. Not thread-safe.
class LocalRowLimiter : public RowLimiter {
 public:
  Result<Done> tryAcquire(const RowLimits& limits, double cost, Time now) override;
  void release(const RowKey& row, Time now) override;
  int64_t inFlight(const RowKey& row) const;

 private:
  struct Entry {
    TokenBucket bucket;
    ConcurrencyLimit concurrency;
  };
  std::map<RowKey, Entry> entries_;
};

/// @return the error for a caller that exceeds its rate limit.
Error rateLimitError(const RowLimits& limits, Duration retryAfter);
/// @return the error for a caller that has too many requests in flight.
Error concurrencyLimitError(const RowLimits& limits, Duration retryAfter);

}  // namespace fernmoor
