#include "gateway/load_shedding.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// Shares of the limit in percent. The fifth above the high mark, 17.6 MB on a machine of 88 MB, is
/// kept for what can't be refused: requests that run, and a table that grows while they do. The
/// tenth between the marks is more than a few requests take, so that a node doesn't flutter.
constexpr size_t kHighWaterPercent = 80;
constexpr size_t kLowWaterPercent = 70;
/// A piece as it is read from an engine, of which one waits where the caller takes it more slowly;
/// callers themselves send nothing while they wait. A sum over the sockets' receive queues would
/// cost a system call for each connection at each look.
constexpr size_t kUnreadPerRequest = 8192;
/// Looks from the high-water mark to the limit over a link that is full.
constexpr double kLooksToLimit = 4;
/// Reading the size takes 4 us (measured), which is nothing at either.
constexpr Duration kShortestLook{50000};
constexpr Duration kLongestLook{250000};
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
  const bool sheds = now == MemoryLevel::kAbove || (now == MemoryLevel::kBetween && isShedding_);
  return isShedding_.exchange(sheds) != sheds;
}

size_t unreadReserve(size_t requests) {
  return requests * kUnreadPerRequest;
}

Duration memoryLookInterval(size_t limitBytes, double linkMegabits) {
  if (limitBytes == 0 || linkMegabits <= 0) {
    return kLongestLook;
  }
  const size_t roomBytes = limitBytes / 100 * (100 - kHighWaterPercent);
  const auto room = static_cast<double>(roomBytes);
  const double seconds = room / (linkMegabits * kBytesPerMegabit) / kLooksToLimit;
  return std::clamp(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
                    kShortestLook, kLongestLook);
}

}  // namespace fernmoor::gateway
