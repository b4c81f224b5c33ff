#include "routing/hot_prefix_tracker.h"

#include <algorithm>
#include <vector>

namespace fernmoor {

namespace {

/// One clean-up evicts 1/kEvictionDivisor of the entries, which amortizes its cost over many
/// requests.
constexpr size_t kEvictionDivisor = 4;

}  // namespace

HotPrefixTracker::HotPrefixTracker(const Knobs& knobs)
    : requestsPerHome_(knobs.hotPrefixRequestsPerHome),
      halfLife_(knobs.hotPrefixHalfLife),
      maximumEntries_(static_cast<size_t>(knobs.hotPrefixEntries)) {}

size_t HotPrefixTracker::countRequest(uint64_t prefix, Time now) {
  if (rates_.size() >= maximumEntries_ && rates_.count(prefix) == 0) {
    evictColdest(now);
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

void HotPrefixTracker::evictColdest(Time now) {
  std::vector<double> weights;
  weights.reserve(rates_.size());
  for (const auto& entry : rates_) {
    weights.push_back(entry.second.weightAt(now, halfLife_));
  }
  const auto cut = weights.begin() + static_cast<ptrdiff_t>(weights.size() / kEvictionDivisor);
  std::nth_element(weights.begin(), cut, weights.end());
  const double weightLimit = *cut;
  size_t toEvict = rates_.size() / kEvictionDivisor + 1;
  for (auto entry = rates_.begin(); entry != rates_.end() && toEvict > 0;) {
    if (entry->second.weightAt(now, halfLife_) <= weightLimit) {
      entry = rates_.erase(entry);
      --toEvict;
    } else {
      ++entry;
    }
  }
}

}  // namespace fernmoor
