/// @file
/// Timeout of the queries that a request sends to other nodes.
#pragma once

#include "common/time.h"

namespace fernmoor::peers {

/// A request proceeds without the answers that are missing after 6 ms, the time of two trips
/// between zones.
inline constexpr Duration kAnswerTimeout{6000};

}  // namespace fernmoor::peers
