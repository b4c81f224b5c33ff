/// @file
/// Load shedding near the memory limit. A process that exceeds its limit is killed, which cuts off
/// all of its answers; near the limit it can still refuse requests that it has not begun.
#pragma once

#include <atomic>
#include <cstddef>

#include "common/time.h"

namespace fernmoor::gateway {

/// Memory use relative to the marks at which new requests are refused or accepted again.
enum class MemoryLevel {
  kBelow,  ///< Below the low-water mark.
  kBetween,
  kAbove,  ///< At the high-water mark or above it.
};

/// Decides with hysteresis whether new requests are refused. One thread may call note(); any thread
/// may call the other functions.
class LoadShedding {
 public:
  /// @param limitBytes the memory limit of the process; 0: unknown, nothing is ever refused.
  explicit LoadShedding(size_t limitBytes) : limitBytes_(limitBytes) {}

  MemoryLevel level(size_t bytes) const;
  /// Starts shedding at the high-water mark and stops below the low-water mark.
  /// @param bytes the memory in use, including data that has arrived but is not read.
  /// @return whether the state changed.
  bool note(size_t bytes);
  bool isShedding() const { return isShedding_; }

 private:
  const size_t limitBytes_;
  std::atomic<bool> isShedding_{false};
};

/// @return the estimated bytes that count toward the limit but not toward the resident size: unread
///         data in the socket buffers of requests in flight.
size_t unreadReserve(size_t requests);

/// @return the interval between memory checks. It is short enough for several checks between the
///         high-water mark and the limit if everything that arrives on the link stays in memory.
/// @param linkMegabits link rate in megabits per second; 0: unknown.
Duration memoryLookInterval(size_t limitBytes, double linkMegabits);

}  // namespace fernmoor::gateway
