#include "routing/hot_prefix_tracker.h"

#include <algorithm>
#include <vector>

namespace fernmoor {

namespace {

/// Share of the entries that one clean-up drops, so that its cost is spread over many requests.
constexpr size_t kDroppedShare = 4;

}  // namespace

HotPrefixTracker::HotPrefixTracker(const Knobs& knobs)
    : requestsPerHome_(knobs.hotPrefixRequestsPerHome),
      halfLife_(knobs.hotPrefixHalfLife),
      maximumEntries_(static_cast<size_t>(knobs.hotPrefixEntries)) {}

size_t HotPrefixTracker::countRequest(uint64_t prefix, Time now) {
  if (rates_.size() >= maximumEntries_ && rates_.count(prefix) == 0) {
    dropColdest(now);
  }
  rates_[prefix].add(1.0, now, halfLife_);
  return homes(prefix, now);
}

double HotPrefixTracker::rate(uint64_t prefix, Time now) const {
  const auto found = rates_.find(prefix);
  return found == rates_.end() ? 0 : found->second.perSecond(now, halfLife_);
}

size_t HotPrefixTracker::homes(uint64_t prefix, Time now) const {
  return 1 + static_cast<size_t>(rate(prefix, now) / requestsPerHome_);
}

void HotPrefixTracker::dropColdest(Time now) {
  std::vector<double> weights;
  weights.reserve(rates_.size());
  for (const auto& entry : rates_) {
    weights.push_back(entry.second.weightAt(now, halfLife_));
  }
  const auto cut = weights.begin() + static_cast<ptrdiff_t>(weights.size() / kDroppedShare);
  std::nth_element(weights.begin(), cut, weights.end());
  const double bound = *cut;
  size_t toDrop = rates_.size() / kDroppedShare + 1;
  for (auto entry = rates_.begin(); entry != rates_.end() && toDrop > 0;) {
    if (entry->second.weightAt(now, halfLife_) <= bound) {
      entry = rates_.erase(entry);
      --toDrop;
    } else {
      ++entry;
    }
  }
}

}  // namespace fernmoor
