/// @file
/// Permits for sending requests to engines that state a rate limit. The one node that counts an
/// engine's requests grants them from a token bucket per engine. A request may reserve a future
/// permit within the time that it can wait, so that the limit is fully used by uneven traffic too.
#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "admission/token_bucket.h"
#include "common/time.h"

namespace fernmoor::gateway {

struct PermitOffer {
  bool isTaken = false;  ///< A permit is reserved; the request may be sent after `wait`.
  Duration wait{0};      ///< Time until the next permit.
};

/// Decisions about one engine's permits since the last call of takeCounts().
struct PermitCounts {
  uint64_t engine = 0;
  uint32_t given = 0;     ///< Permits granted, less those that were returned.
  uint32_t withheld = 0;  ///< Requests for which no permit was available in time.
};

/// Thread-safe. Engines are identified by the hashes of their incarnations.
class EnginePermits {
 public:
  /// Records that the engine states a limit. The first permit is available after one full interval,
  /// since requests that reach the engine before that were already sent or permitted by another
  /// node.
  void expect(uint64_t engine, double rate, Time now);
  /// Reserves a permit that is available within `longestWait`. Calls expect() for an unknown
  /// engine.
  /// @param rate requests per second, above 0.
  PermitOffer take(uint64_t engine, double rate, Duration longestWait, Time now);
  /// Returns the permit of a request that was not sent.
  void giveBack(uint64_t engine, Time now);
  std::vector<PermitCounts> takeCounts();
  /// Removes engines that were not used for a while.
  void forgetUnused(Time now);

 private:
  struct Schedule {
    TokenBucket bucket;
    double rate = 0;
    Time usedAt;
    PermitCounts counts;
  };

  Schedule& scheduleOf(uint64_t engine, double rate, Time now);

  std::mutex mutex_;
  std::unordered_map<uint64_t, Schedule> schedules_;
};

}  // namespace fernmoor::gateway
