/// @file
/// Permits to send a request to an engine that states a limit, given by the one node that counts
/// for it: a token bucket for each engine. A request may be promised a permit that comes within the
/// time for which it can wait, so that what an engine takes is used also where it comes unevenly.
#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "admission/token_bucket.h"
#include "common/time.h"

namespace fernmoor::gateway {

struct PermitOffer {
  bool isTaken = false;  ///< The request may be sent after `wait`.
  Duration wait{0};      ///< Until the next permit.
};

/// What was decided about one engine's permits since that was asked last.
struct PermitCounts {
  uint64_t engine = 0;
  uint32_t given = 0;     ///< Without those that came back.
  uint32_t withheld = 0;  ///< Questions for which no permit came in time.
};

/// Thread-safe. Engines are named by hashes of their incarnations.
class EnginePermits {
 public:
  /// Notes that the engine states a limit. Its first permit comes after a whole interval: what it
  /// gets in this one was sent before, or permitted by another node.
  void expect(uint64_t engine, double rate, Time now);
  /// Takes a permit that comes within `longestWait`. An engine not heard of is expected first.
  /// @param rate requests a second, above 0.
  PermitOffer take(uint64_t engine, double rate, Duration longestWait, Time now);
  /// Gives a permit back whose request was not sent.
  void giveBack(uint64_t engine, Time now);
  std::vector<PermitCounts> takeCounts();
  /// Forgets engines that nobody asked about for a while.
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
