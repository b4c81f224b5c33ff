/// @file
/// An emulated engine's prefix cache together with the events that it publishes.
#pragma once

#include "standin/cache_event_log.h"
#include "standin/prefix_cache.h"

namespace fernmoor::standin {

class EngineCache {
 public:
  explicit EngineCache(const EngineOptions& options)
      : blocks_(options.cacheBlocks), log_(options.eventDelay, options.keptEvents) {}

  const PrefixCache& blocks() const { return blocks_; }
  CacheEventLog& log() { return log_; }
  const CacheEventLog& log() const { return log_; }
  /// Changes whenever the cache is emptied, so that a prefill begun before does not fill it.
  int64_t generation() const { return generation_; }

  /// Uses the chain's leading blocks for a prefill.
  /// @return how many of them need no computing.
  int64_t use(const std::vector<BlockHash>& chain);
  /// Holds the chain and publishes what came and went.
  void store(const std::vector<BlockHash>& chain, Time now);
  /// Empties the cache and publishes that.
  void clear(Time now);
  /// Empties the cache and begins a new event stream, whose first event tells that.
  void restart(Time now);

 private:
  PrefixCache blocks_;
  CacheEventLog log_;
  int64_t generation_ = 0;
};

}  // namespace fernmoor::standin
