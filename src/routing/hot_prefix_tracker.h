/// @file
/// How hot each prefix is at this node, and how many home engines it therefore gets.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "common/knobs.h"
#include "common/time.h"
#include "routing/decaying_rate.h"

namespace fernmoor {

/// Exponentially decaying request rates of prefixes, bounded in memory. Not thread-safe.
class HotPrefixTracker {
 public:
  explicit HotPrefixTracker(const Knobs& knobs);

  /// Counts one request for the prefix.
  /// @return its homes from now on: one, and one more for each hotPrefixRequestsPerHome.
  size_t countRequest(uint64_t prefix, Time now);
  /// @return the homes of the prefix now, without counting a request.
  size_t homes(uint64_t prefix, Time now) const;
  /// @return the decayed rate in requests a second.
  double rate(uint64_t prefix, Time now) const;
  /// @return number of prefixes held.
  size_t size() const { return rates_.size(); }

 private:
  void dropColdest(Time now);

  double requestsPerHome_;
  Duration halfLife_;
  size_t maximumEntries_;
  std::unordered_map<uint64_t, DecayingRate> rates_;
};

}  // namespace fernmoor
