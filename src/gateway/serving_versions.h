/// @file
/// Filters engines by the version of their weights while a new version is rolled out.
#pragma once

#include <cstdint>
#include <vector>

#include "backends/backend_set.h"

namespace fernmoor::gateway {

/// Removes engines whose weights are too old, even if none is left. The bound on old weights has no
/// exception for the case that no engine meets it; a refused request may be retried and reach an
/// engine that has been moved meanwhile.
/// @param lowest the lowest permitted version; lower and unknown versions are removed. 0: removes
///        nothing.
void leaveOutOldWeights(std::vector<BackendView>& candidates, uint64_t lowest);

}  // namespace fernmoor::gateway
