#include "gateway/load_shedding.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// Shares of the limit in percent. The 20 % above the high-water mark, 17.6 MB on a machine with
/// 88 MB, are reserved for what can't be refused: running requests, and a table that grows
/// meanwhile. The 10 % between the marks are more than a few requests use, so that the state does
/// not flap.
constexpr size_t kHighWaterPercent = 80;
constexpr size_t kLowWaterPercent = 70;
/// Bytes of one chunk read from an engine. One chunk may be unread if the caller reads more slowly
/// than the engine sends; callers send nothing while they wait. This estimate is used because
/// adding up the sockets' receive queues would need a system call per connection at each check.
constexpr size_t kUnreadBytesPerRequest = 8192;
/// Checks between the high-water mark and the limit if the link is saturated.
constexpr double kChecksToLimit = 4;
/// Reading the memory size takes 4 us (measured), which is negligible at either interval.
constexpr Duration kMinCheckInterval{50000};
constexpr Duration kMaxCheckInterval{250000};
constexpr double kBytesPerMegabit = 125000;

bool reaches(size_t bytes, size_t limitBytes, size_t percent) {
  return bytes >= limitBytes / 100 * percent;
}

}  // namespace

MemoryLevel LoadShedding::level(size_t bytes) const {
  if (limitBytes_ == 0 || !reaches(bytes, limitBytes_, kLowWaterPercent)) {
    return MemoryLevel::kBelow;
  }
  return reaches(bytes, limitBytes_, kHighWaterPercent) ? MemoryLevel::kAbove
                                                        : MemoryLevel::kBetween;
}

bool LoadShedding::note(size_t bytes) {
  const MemoryLevel now = level(bytes);
  const bool shouldShed =
      now == MemoryLevel::kAbove || (now == MemoryLevel::kBetween && isShedding_);
  return isShedding_.exchange(shouldShed) != shouldShed;
}

size_t unreadReserve(size_t requests) {
  return requests * kUnreadBytesPerRequest;
}

Duration memoryLookInterval(size_t limitBytes, double linkMegabits) {
  if (limitBytes == 0 || linkMegabits <= 0) {
    return kMaxCheckInterval;
  }
  const size_t roomBytes = limitBytes / 100 * (100 - kHighWaterPercent);
  const auto room = static_cast<double>(roomBytes);
  const double seconds = room / (linkMegabits * kBytesPerMegabit) / kChecksToLimit;
  return std::clamp(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
                    kMinCheckInterval, kMaxCheckInterval);
}

}  // namespace fernmoor::gateway
