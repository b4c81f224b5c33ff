/// @file
/// A bound on requests in flight.
#pragma once

#include <algorithm>
#include <cstdint>

namespace fernmoor {

/// Not thread-safe. A limit of 0 means none.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int64_t limit) : limit_(limit) {}

  /// Changes the limit; requests in flight beyond a lower one are left to end.
  void setLimit(int64_t limit) { limit_ = limit; }
  /// @return false where the limit is reached.
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
