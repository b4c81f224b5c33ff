/// @file
/// Which engines may still be sent requests while new weights are brought in.
#pragma once

#include <cstdint>
#include <vector>

#include "backends/backend_set.h"

namespace fernmoor::gateway {

/// Leaves out engines whose weights are too old, also where none stays: a bound that gives way when
/// it can't be kept is none, and a request that is refused may come back to an engine that was
/// moved meanwhile.
/// @param lowest older versions are too old, and so are unknown ones; 0: none is.
void leaveOutOldWeights(std::vector<BackendView>& candidates, uint64_t lowest);

}  // namespace fernmoor::gateway
