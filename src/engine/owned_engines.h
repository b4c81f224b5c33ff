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

/// An owner's answer about one engine for one prompt.
struct EngineProbe {
  EngineId engine;
  Incarnation incarnation;
  CacheMatch match;
  size_t matchedHashes = 0;  ///< Of the sample.
  EngineLoad load;
};

/// Metrics of the views, for /metrics.
struct OwnedEnginesSummary {
  size_t engines = 0;
  size_t blocks = 0;
  size_t memoryBytes = 0;
  Duration oldestView{0};  ///< Age of the least recently updated view.
  CacheViewCounters counters;
};

/// Size and age of one owned engine's view.
struct OwnedViewStats {
  size_t blocks = 0;
  Time updatedAt;
};

/// Thread-safe; takes the lock of rank kEngines.
class OwnedEngines {
 public:
  explicit OwnedEngines(const Knobs& knobs) : knobs_(knobs) {}

  /// Starts owning an engine, or updates its state. A changed incarnation or weights version
  /// empties its view.
  void update(const EngineState& state, Time now);
  /// Stops owning an engine: another node owns it now.
  void drop(const EngineId& engine);
  /// Applies cache events of an owned engine; events of other engines are ignored.
  void apply(const EngineId& engine, const CacheEventBatch& batch, Time now);
  /// Corrects the view from an answer that reports how many blocks of its prompt were cached.
  void confirm(const EngineId& engine, Incarnation incarnation, const BlockChain& chain,
               int64_t matchedBlocks);
  /// Drops blocks that have been doubtful for too long. Call it about once a second.
  void expire(Time now);

  /// @return the sequence number of the engine's last event seen, 0 if it isn't owned.
  uint64_t sequence(const EngineId& engine) const;
  bool owns(const EngineId& engine) const;
  std::vector<EngineState> states() const;
  /// @return none if the engine isn't owned.
  std::optional<EngineProbe> probe(const EngineId& engine, const ChainSample& sample) const;
  OwnedEnginesSummary summary(Time now) const;
  /// @return none if the engine isn't owned.
  std::optional<OwnedViewStats> viewOf(const EngineId& engine) const;

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
