/// @file
/// Which engines may still be sent requests while new weights are brought in.
#pragma once

#include <cstdint>
#include <vector>

#include "backends/backend_set.h"

namespace fernmoor::gateway {

/// Leaves out engines whose weights are older than requests may still begin on. Where all are, as
/// on a node that was just started and does not know since when a version is named, the newest half
/// stays: whatever is behind most others is the first to be too old.
/// @param lowestVersion 0: any will do.
void leaveOutOldWeights(std::vector<BackendView>& candidates, uint64_t lowestVersion);

}  // namespace fernmoor::gateway
