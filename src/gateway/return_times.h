/// @file
/// Computes retry times for callers whose requests were rejected because all back ends have reached
/// the limits they state. If far more requests are rejected than permitted and all callers retried
/// at the next permit, one of them at random would get it and the others would be rejected again.
/// Retries are therefore spread over the time in which back ends accept as many requests.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "common/random.h"
#include "common/time.h"

namespace fernmoor::gateway {

/// Thread-safe.
class ReturnTimes {
 public:
  explicit ReturnTimes(uint64_t randomSeed) : random_(randomSeed) {}

  /// Counts a request that was sent to a back end of the pool that states a limit.
  void notePermitted(const std::string& pool, Time now);
  /// Counts a rejected request.
  /// @param due time until a back end of the pool accepts a request.
  /// @param timeLeft time until the request's deadline.
  /// @return the time after which its caller should retry, at least `due`.
  Duration next(const std::string& pool, Duration due, Duration timeLeft, Time now);

 private:
  /// Exponentially decaying counts of the last seconds.
  struct Shortage {
    double permitted = 0;
    double refused = 0;
    Time at;
  };

  Shortage& shortageOf(const std::string& pool, Time now);

  std::mutex mutex_;
  Random random_;
  std::map<std::string, Shortage> pools_;
};

}  // namespace fernmoor::gateway
