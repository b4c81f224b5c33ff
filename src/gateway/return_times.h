/// @file
/// When callers are told to come back whose requests were refused as all back ends are at the
/// limits that they state. Where far more is refused than permitted, callers that all came back
/// with the next permit would only be refused once more, and the permit would go to one of them at
/// random: they are spread over the time in which back ends take as many.
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

  /// Notes a request that was sent to a back end of the pool which states a limit.
  void notePermitted(const std::string& pool, Time now);
  /// Notes a refused request.
  /// @param due until a back end of the pool takes a request.
  /// @param timeLeft until the request's deadline.
  /// @return the time after which its caller is to come back, `due` at least.
  Duration next(const std::string& pool, Duration due, Duration timeLeft, Time now);

 private:
  /// Of the last seconds, fading.
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
