#include "routing/hot_prefix_tracker.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace fernmoor {

namespace {

/// Share of the entries that one clean-up drops, so that its cost is spread over many requests.
constexpr size_t kDroppedShare = 4;
/// Integral of 2^-t over all time: turns a decayed count into a rate.
constexpr double kHalfLifeIntegral = 1.4426950408889634;

}  // namespace

HotPrefixTracker::HotPrefixTracker(const Knobs& knobs)
    : requestsPerHome_(knobs.hotPrefixRequestsPerHome),
      halfLifeSeconds_(toSeconds(knobs.hotPrefixHalfLife)),
      maximumEntries_(static_cast<size_t>(knobs.hotPrefixEntries)) {}

double HotPrefixTracker::decayed(const Entry& entry, Time now) const {
  const double age = std::max(0.0, toSeconds(now - entry.updatedAt));
  return entry.weight * std::exp2(-age / halfLifeSeconds_);
}

size_t HotPrefixTracker::countRequest(uint64_t prefix, Time now) {
  if (entries_.size() >= maximumEntries_ && entries_.count(prefix) == 0) {
    dropColdest(now);
  }
  Entry& entry = entries_[prefix];
  entry.weight = decayed(entry, now) + 1.0;
  entry.updatedAt = now;
  return homes(prefix, now);
}

double HotPrefixTracker::rate(uint64_t prefix, Time now) const {
  const auto found = entries_.find(prefix);
  if (found == entries_.end()) {
    return 0;
  }
  return decayed(found->second, now) / (halfLifeSeconds_ * kHalfLifeIntegral);
}

size_t HotPrefixTracker::homes(uint64_t prefix, Time now) const {
  return 1 + static_cast<size_t>(rate(prefix, now) / requestsPerHome_);
}

void HotPrefixTracker::dropColdest(Time now) {
  std::vector<double> weights;
  weights.reserve(entries_.size());
  for (const auto& entry : entries_) {
    weights.push_back(decayed(entry.second, now));
  }
  const auto cut = weights.begin() + static_cast<ptrdiff_t>(weights.size() / kDroppedShare);
  std::nth_element(weights.begin(), cut, weights.end());
  const double bound = *cut;
  size_t toDrop = entries_.size() / kDroppedShare + 1;
  for (auto entry = entries_.begin(); entry != entries_.end() && toDrop > 0;) {
    if (decayed(entry->second, now) <= bound) {
      entry = entries_.erase(entry);
      --toDrop;
    } else {
      ++entry;
    }
  }
}

}  // namespace fernmoor
