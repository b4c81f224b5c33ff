/// @file
/// What this node knows of the engines' caches: exact views of the engines that it watches, and
/// memory of what it sent where.
#pragma once

#include <map>
#include <vector>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "engine/cache_view.h"
#include "engine/engine_state.h"
#include "routing/placement_memory.h"

namespace fernmoor {

/// What is known of one engine for one prompt.
struct EngineKnowledge {
  int64_t matchedBlocks = 0;
  bool matchKnown = false;
  PlacedLoad placed;
};

/// Size and age of one view, for operators.
struct ViewFacts {
  size_t blocks = 0;
  Time updatedAt;
  CacheViewCounters counters;
};

/// Thread-safe.
class EngineViews {
 public:
  explicit EngineViews(const Knobs& knobs);

  /// Makes the view of an engine fit its present life; a view of a former life is emptied.
  void align(const EngineState& engine);
  /// Takes events of a watched engine.
  void apply(const EngineId& engine, const CacheEventBatch& batch, Time now);
  /// @return the last event seen of the engine in this life; 0 where there is none.
  uint64_t sequenceOf(const EngineId& engine, Incarnation incarnation) const;
  /// Forgets the view of an engine that is watched no more.
  void drop(const EngineId& engine);

  /// @return one entry for each engine, in their order.
  std::vector<EngineKnowledge> knowledge(const BlockChain& chain,
                                         const std::vector<EngineState>& engines, Time now) const;
  void recordSent(const Placement& placement, const BlockChain& chain, int64_t uncachedTokens,
                  Time now);
  void recordEnded(const Placement& placement, Time now);
  /// The engine told how many leading blocks it had.
  void confirm(const Placement& placement, const BlockChain& chain, int64_t matchedBlocks);
  /// Forgets what is too old; call it about once a second.
  void expire(Time now);

  std::optional<ViewFacts> factsOf(const EngineId& engine) const;

 private:
  const Knobs knobs_;
  mutable RankedMutex viewMutex_{LockRank::kEngines};
  std::map<EngineId, CacheView> views_;
  mutable RankedMutex memoryMutex_{LockRank::kRouting};
  PlacementMemory memory_;
};

}  // namespace fernmoor
