/// @file
/// Counts events of a sliding window in constant memory.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "common/time.h"

namespace fernmoor {

/// Counts by slots of a tenth of the window. The count covers nine to ten tenths of it, so it never
/// includes an event that has left the window. Not thread-safe.
class SlidingCount {
 public:
  /// @param window rounded up to ten microseconds.
  explicit SlidingCount(Duration window) : slotLength_(std::max(Duration(1), window / kSlots)) {}

  void add(Time now);
  /// @return the number of events in the window that ends now.
  uint64_t countAt(Time now);

 private:
  static constexpr int64_t kSlots = 10;

  /// Empties the slots that have left the window.
  void advance(Time now);

  Duration slotLength_;
  std::array<uint64_t, kSlots> counts_{};
  int64_t newestSlot_ = 0;  ///< Number of slots since the epoch of the clock.
};

}  // namespace fernmoor
