#include "gateway/serving_versions.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

bool isOlder(const BackendView& candidate, uint64_t version) {
  return candidate.weightsVersion != 0 && candidate.weightsVersion < version;
}

/// @return the highest version that at least half of the candidates hold or exceed.
uint64_t versionOfNewestHalf(const std::vector<BackendView>& candidates) {
  std::vector<uint64_t> versions;
  versions.reserve(candidates.size());
  for (const BackendView& candidate : candidates) {
    versions.push_back(candidate.weightsVersion);
  }
  std::sort(versions.begin(), versions.end());
  return versions[versions.size() / 2];
}

}  // namespace

void leaveOutOldWeights(std::vector<BackendView>& candidates, const ServingVersions& versions) {
  if (candidates.empty()) {
    return;
  }
  const uint64_t ofHalf = versionOfNewestHalf(candidates);
  uint64_t lowest = std::max(versions.lowest, std::min(versions.uncertain, ofHalf));
  if (std::all_of(candidates.begin(), candidates.end(),
                  [&](const BackendView& each) { return isOlder(each, lowest); })) {
    lowest = ofHalf;
  }
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [&](const BackendView& each) { return isOlder(each, lowest); }),
                   candidates.end());
}

}  // namespace fernmoor::gateway
