/// @file
/// Events by which an engine reports changes of its prefix cache.
#pragma once

#include <cstdint>
#include <vector>

#include "common/ids.h"
#include "prefix/block_chain.h"

namespace fernmoor {

enum class CacheEventKind { kStored, kRemoved, kCleared };

struct CacheEvent {
  uint64_t sequence = 0;  ///< Consecutive within an incarnation, from 1.
  CacheEventKind kind = CacheEventKind::kStored;
  BlockHash block = 0;
};

/// Events of one engine in the order of their sequence numbers.
struct CacheEventBatch {
  Incarnation incarnation;
  bool gap = false;  ///< Events before the first one here were lost.
  std::vector<CacheEvent> events;
};

}  // namespace fernmoor
