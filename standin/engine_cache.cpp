#include "standin/engine_cache.h"

namespace fernmoor::standin {

int64_t EngineCache::use(const std::vector<BlockHash>& chain) {
  const int64_t matched = blocks_.matchedBlocks(chain);
  blocks_.touch(chain, matched);
  return matched;
}

void EngineCache::store(const std::vector<BlockHash>& chain, Time now) {
  const CacheChanges changes = blocks_.insert(chain);
  for (const BlockHash block : changes.removed) {
    log_.append(CacheEventKind::kRemoved, block, now);
  }
  for (const BlockHash block : changes.stored) {
    log_.append(CacheEventKind::kStored, block, now);
  }
}

void EngineCache::clear(Time now) {
  blocks_.clear();
  ++generation_;
  log_.append(CacheEventKind::kCleared, 0, now);
}

void EngineCache::restart(Time now) {
  log_.restart();
  clear(now);
}

}  // namespace fernmoor::standin
