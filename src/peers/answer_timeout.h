/// @file
/// How long a request waits for what another node knows.
#pragma once

#include "common/time.h"

namespace fernmoor::peers {

/// A request goes on without answers that have not come by then: two trips between zones.
inline constexpr Duration kAnswerTimeout{6000};

}  // namespace fernmoor::peers
