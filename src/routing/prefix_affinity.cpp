#include "routing/prefix_affinity.h"

#include <algorithm>
#include <numeric>

#include "common/rendezvous.h"

namespace fernmoor {

namespace {

uint64_t weightOf(uint64_t key, const EngineCandidate& candidate) {
  return rendezvousWeight(key, stableHash(candidate.engine.id.value()));
}

}  // namespace

uint64_t affinityKey(const RoutingRequest& request, int64_t depth) {
  const std::vector<BlockHash>& hashes = request.chain->hashes;
  if (hashes.empty()) {
    return rendezvousWeight(stableHash(request.row.service.value()),
                            stableHash(request.row.tenant.value()));
  }
  const size_t position = std::min(hashes.size(), static_cast<size_t>(std::max<int64_t>(1, depth)));
  return hashes[position - 1];
}

std::vector<size_t> homeOrder(uint64_t key, const std::vector<EngineCandidate>& candidates) {
  std::vector<uint64_t> weights;
  weights.reserve(candidates.size());
  for (const EngineCandidate& candidate : candidates) {
    weights.push_back(weightOf(key, candidate));
  }
  std::vector<size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return weights[a] > weights[b]; });
  return order;
}

size_t homeOf(uint64_t key, const std::vector<EngineCandidate>& candidates) {
  size_t best = 0;
  uint64_t bestWeight = 0;
  for (size_t index = 0; index < candidates.size(); ++index) {
    const uint64_t weight = weightOf(key, candidates[index]);
    if (index == 0 || weight > bestWeight) {
      best = index;
      bestWeight = weight;
    }
  }
  return best;
}

}  // namespace fernmoor
