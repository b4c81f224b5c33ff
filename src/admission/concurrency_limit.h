/// @file
/// Limit on the number of requests in flight.
#pragma once

#include <algorithm>
#include <cstdint>

namespace fernmoor {

/// Not thread-safe. A limit of 0 means no limit.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int64_t limit) : limit_(limit) {}

  /// Changes the limit. Requests in flight above a lowered limit are not cancelled.
  void setLimit(int64_t limit) { limit_ = limit; }
  /// Counts a request in flight. @return false, counting nothing, if the limit is reached.
  bool tryAcquire() {
    if (limit_ > 0 && inFlight_ >= limit_) {
      return false;
    }
    ++inFlight_;
    return true;
  }
  void release() { inFlight_ = std::max<int64_t>(0, inFlight_ - 1); }
  int64_t inFlight() const { return inFlight_; }

 private:
  int64_t limit_;
  int64_t inFlight_ = 0;
};

}  // namespace fernmoor
