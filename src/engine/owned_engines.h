/// @file
/// The engines that this node owns: their cache views and their latest state.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "engine/cache_view.h"
#include "engine/engine_state.h"

namespace fernmoor {

/// What an owner tells of one engine for one prompt.
struct EngineProbe {
  EngineId engine;
  Incarnation incarnation;
  CacheMatch match;
  size_t matchedHashes = 0;  ///< Of the sample.
  EngineLoad load;
};

/// Measures of the views, for /metrics.
struct OwnedEnginesSummary {
  size_t engines = 0;
  size_t blocks = 0;
  size_t memoryBytes = 0;
  Duration oldestView{0};  ///< Time since the view that waited longest for events got some.
  CacheViewCounters counters;
};

/// Size and age of one owned engine's view.
struct OwnedViewFacts {
  size_t blocks = 0;
  Time updatedAt;
};

/// Thread-safe; takes the lock of rank kEngines.
class OwnedEngines {
 public:
  explicit OwnedEngines(const Knobs& knobs) : knobs_(knobs) {}

  /// Takes an engine over, or its newer state. Another incarnation or other weights empty its view.
  void update(const EngineState& state, Time now);
  /// Another node owns it now.
  void drop(const EngineId& engine);
  /// Takes cache events of an owned engine; others are ignored.
  void apply(const EngineId& engine, const CacheEventBatch& batch, Time now);
  /// Learns from an answer how many blocks of its prompt the engine held.
  void confirm(const EngineId& engine, Incarnation incarnation, const BlockChain& chain,
               int64_t matchedBlocks);
  /// Drops what has been doubtful for too long. Call it about once a second.
  void expire(Time now);

  /// @return the last event seen of the engine, 0 where it isn't owned.
  uint64_t sequence(const EngineId& engine) const;
  bool owns(const EngineId& engine) const;
  std::vector<EngineState> states() const;
  /// @return none where the engine isn't owned.
  std::optional<EngineProbe> probe(const EngineId& engine, const ChainSample& sample) const;
  OwnedEnginesSummary summary(Time now) const;
  /// @return none where the engine isn't owned.
  std::optional<OwnedViewFacts> viewOf(const EngineId& engine) const;

 private:
  struct Entry {
    EngineState state;
    CacheView view;
  };

  const Knobs knobs_;
  mutable RankedMutex mutex_{LockRank::kEngines};
  std::map<EngineId, Entry> entries_;
};

}  // namespace fernmoor
