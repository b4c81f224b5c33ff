/// @file
/// Rate and concurrency limits of rows.
#pragma once

#include <map>

#include "admission/admission_request.h"
#include "admission/concurrency_limit.h"
#include "admission/token_bucket.h"

namespace fernmoor {

/// Decides whether a row's limits let one more request pass. Called under the admission lock.
class RowLimiter {
 public:
  virtual ~RowLimiter() = default;
  /// Counts the request against the row's rate and concurrency.
  /// @param cost in the unit of the rate: 1 where requests are counted, else e.g. tokens.
  /// @return kRateLimited with the time until there is room again.
  virtual Result<Done> tryAcquire(const RowLimits& limits, double cost, Time now) = 0;
  /// The request ended, was refused by the queue, or its caller went away.
  virtual void release(const RowKey& row, Time now) = 0;
};

/// Limits that hold on this node alone. Not thread-safe.
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

/// @return the error of a caller that is over its rate.
Error rateLimitError(const RowLimits& limits, Duration retryAfter);
/// @return the error of a caller that has too many requests in flight.
Error concurrencyLimitError(const RowLimits& limits, Duration retryAfter);

}  // namespace fernmoor
