/// @file
/// How quickly requests got their first event by where their shared parts came from, as this node
/// saw it lately. The store's link is shared by all engines: where it is overloaded, a part waits
/// there longer than reading it would take.
#pragma once

#include <mutex>

#include "common/decay.h"
#include "gateway/part_source.h"

namespace fernmoor::gateway {

/// Thread-safe.
class SourceExperience {
 public:
  /// @param took from the send to the first event.
  void note(PartSource source, uint64_t promptTokens, Duration took, Time now);
  /// @return whether parts come so much more slowly from the store than from engines that an engine
  ///         that may have dropped them is the better source.
  bool isStoreSlow(Time now) const;

 private:
  mutable std::mutex mutex_;
  DecayingQuotient store_;  ///< Prompt tokens, and the times until their first events.
  DecayingQuotient engine_;
};

}  // namespace fernmoor::gateway
