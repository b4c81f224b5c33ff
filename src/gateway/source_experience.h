/// @file
/// Recent times to the first event on this node, by the source of the requests' shared parts. All
/// engines share the store's link; when it is overloaded, fetching a part takes longer than
/// recomputing it.
#pragma once

#include <mutex>

#include "common/decay.h"
#include "gateway/part_source.h"

namespace fernmoor::gateway {

/// Thread-safe.
class SourceExperience {
 public:
  /// Records one request.
  /// @param took the time from sending the request to its first event.
  void note(PartSource source, uint64_t promptTokens, Duration took, Time now);
  /// @return whether the store is so much slower than engines that an engine which may have evicted
  ///         the parts is the better source.
  bool isStoreSlow(Time now) const;

 private:
  mutable std::mutex mutex_;
  DecayingQuotient store_;  ///< Prompt tokens, and the times to their first events.
  DecayingQuotient engine_;
};

}  // namespace fernmoor::gateway
