/// @file
/// Which engines may still be sent requests while new weights are brought in.
#pragma once

#include <cstdint>
#include <vector>

#include "backends/backend_set.h"

namespace fernmoor::gateway {

/// What is known of the versions that requests may begin on.
struct ServingVersions {
  uint64_t lowest = 0;     ///< Older ones are too old; 0: none is.
  uint64_t uncertain = 0;  ///< Older ones may be too old: nobody here knows since when it is named.
};

/// Leaves out engines whose weights are too old. Where that is uncertain, as on a node that was
/// just started, or would leave none, the newest half stays: what is behind most others is the
/// first to be too old, and all requests at the one engine that is ahead would serve nobody.
void leaveOutOldWeights(std::vector<BackendView>& candidates, const ServingVersions& versions);

}  // namespace fernmoor::gateway
