#include "admission/sliding_count.h"

#include <algorithm>
#include <numeric>

namespace fernmoor {

void SlidingCount::advance(Time now) {
  const int64_t slot = now.time_since_epoch() / slotLength_;
  for (int64_t next = std::max(newestSlot_ + 1, slot - kSlots + 1); next <= slot; ++next) {
    counts_[static_cast<size_t>(next % kSlots)] = 0;
  }
  newestSlot_ = std::max(newestSlot_, slot);
}

void SlidingCount::add(Time now) {
  advance(now);
  ++counts_[static_cast<size_t>(newestSlot_ % kSlots)];
}

uint64_t SlidingCount::countAt(Time now) {
  advance(now);
  return std::accumulate(counts_.begin(), counts_.end(), uint64_t{0});
}

}  // namespace fernmoor
