/// @file
/// Times as nodes tell them to each other: as ages in whole milliseconds, since their clocks
/// differ.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "common/time.h"

namespace fernmoor::peers {

/// @return whole milliseconds, 0 for a negative time, the greatest number for a very long one.
inline uint32_t inMilliseconds(Duration time) {
  constexpr int64_t kMost = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::clamp<int64_t>(time.count() / 1000, 0, kMost));
}

}  // namespace fernmoor::peers
