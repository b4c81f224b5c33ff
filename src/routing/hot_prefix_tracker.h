/// @file
/// Tracks the request rate of each prefix at this node and derives how many home engines (see
/// prefix_affinity.h) the prefix gets.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "common/knobs.h"
#include "common/time.h"
#include "routing/decaying_rate.h"

namespace fernmoor {

/// Exponentially decaying request rates of at most hotPrefixEntries prefixes. Not thread-safe.
class HotPrefixTracker {
 public:
  explicit HotPrefixTracker(const Knobs& knobs);

  /// Counts one request for the prefix.
  /// @return its number of homes: one, plus one per hotPrefixRequestsPerHome requests per second.
  size_t countRequest(uint64_t prefix, Time now);
  /// @return the prefix's number of homes, without counting a request.
  size_t homes(uint64_t prefix, Time now) const;
  /// @return the decayed rate in requests per second.
  double rate(uint64_t prefix, Time now) const;
  /// @return the number of prefixes tracked.
  size_t size() const { return rates_.size(); }

 private:
  void evictColdest(Time now);

  double requestsPerHome_;
  Duration halfLife_;
  size_t maximumEntries_;
  std::unordered_map<uint64_t, DecayingRate> rates_;
};

}  // namespace fernmoor
