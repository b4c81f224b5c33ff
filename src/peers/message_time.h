/// @file
/// Encodes times in messages between nodes as ages in whole milliseconds, because the clocks of
/// nodes differ.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "common/time.h"

namespace fernmoor::peers {

/// @return whole milliseconds, clamped to the range of uint32_t: 0 for a negative duration.
inline uint32_t toMilliseconds(Duration time) {
  constexpr int64_t kMax = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::clamp<int64_t>(time.count() / 1000, 0, kMax));
}

}  // namespace fernmoor::peers
