#include "gateway/serving_versions.h"

#include <algorithm>

namespace fernmoor::gateway {

void leaveOutOldWeights(std::vector<BackendView>& candidates, uint64_t lowest) {
  candidates.erase(
      std::remove_if(candidates.begin(), candidates.end(),
                     [&](const BackendView& each) { return each.weightsVersion < lowest; }),
      candidates.end());
}

}  // namespace fernmoor::gateway
