/// @file
/// The owner's view of the blocks cached by one engine, for one incarnation and one weights
/// version. The view may be stale or wrong: a match is a hint, and a wrong hint only costs time.
#pragma once

#include <cstdint>

#include "common/ids.h"
#include "common/knobs.h"
#include "common/time.h"
#include "engine/cache_event.h"
#include "prefix/block_set.h"
#include "prefix/chain_sample.h"

namespace fernmoor {

/// How much of a chain an engine holds according to the view.
struct CacheMatch {
  int64_t blocks = 0;     ///< Leading blocks held, the doubtful ones included.
  bool doubtful = false;  ///< Some of them are known only from before a gap in the events.
};

/// Counts since the view was made; they survive a reset.
struct CacheViewCounters {
  uint64_t events = 0;
  uint64_t gaps = 0;
  uint64_t resets = 0;  ///< The engine restarted or changed its weights.
};

/// Not thread-safe; the owner guards it with rank kEngines.
class CacheView {
 public:
  CacheView(Incarnation incarnation, WeightsVersion weightsVersion, const Knobs& knobs);

  /// Applies events. Duplicates are skipped; a gap in the sequence marks all known blocks as
  /// doubtful; a newer incarnation empties the view and an older one is ignored.
  void apply(const CacheEventBatch& batch, Time now);

  /// Empties the view if the engine's incarnation or weights version differs from the view's.
  void alignTo(Incarnation incarnation, WeightsVersion weightsVersion);

  /// Corrects the view from an answer that reports how much of its prompt was cached: the matched
  /// blocks are confirmed and the block after them is dropped if doubtful, which repairs errors due
  /// to a gap.
  void confirm(const BlockChain& chain, int64_t matchedBlocks);

  /// Drops blocks that have been doubtful for longer than the knob doubtfulBlockLifetime.
  void expire(Time now);

  CacheMatch match(const BlockChain& chain) const;
  /// As above, but only to the depth of a sampled hash, by binary search: engines evict a chain's
  /// blocks from its end, so a held block's predecessors are held too.
  CacheMatch match(const ChainSample& sample) const;

  Incarnation incarnation() const { return incarnation_; }
  WeightsVersion weightsVersion() const { return weightsVersion_; }
  /// @return the sequence number of the last event seen; the next batch is requested from there.
  uint64_t sequence() const { return sequence_; }
  /// @return when events last arrived, for the staleness metric.
  Time updatedAt() const { return updatedAt_; }
  size_t blockCount() const { return blocks_.size(); }
  size_t memoryBytes() const { return sizeof(*this) + blocks_.memoryBytes(); }
  const CacheViewCounters& counters() const { return counters_; }

 private:
  void reset(Incarnation incarnation);
  void markGap(Time now);
  void applyEvent(const CacheEvent& event);

  Incarnation incarnation_;
  WeightsVersion weightsVersion_;
  Duration doubtfulLifetime_;
  BlockSet blocks_;
  uint64_t sequence_ = 0;
  bool anyDoubtful_ = false;
  Time doubtfulSince_;
  Time updatedAt_;
  CacheViewCounters counters_;
};

}  // namespace fernmoor
