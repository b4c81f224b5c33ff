/// @file
/// Records which requests this node recently sent to which engine. Until an engine's report covers
/// them, their prefixes count as cached there and the requests count as load.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/knobs.h"
#include "common/time.h"
#include "engine/engine_life.h"
#include "engine/engine_state.h"
#include "prefix/block_chain.h"

namespace fernmoor {

/// Load that this node added to an engine after the engine's last report.
struct PlacedLoad {
  /// Prompt tokens sent, plus the tokens that the engine could have prefilled while its queue was
  /// empty. The idle part makes up for prefillQueueSeconds(), which subtracts the whole time since
  /// the report at the engine's rate from the reported queue plus this value.
  int64_t prefillTokens = 0;
  int64_t streams = 0;  ///< Started minus ended; may be negative.
};

/// Not thread-safe; callers guard it with a lock of rank kRouting.
class PlacementMemory {
 public:
  explicit PlacementMemory(const Knobs& knobs);

  /// Records that a request was sent to the engine.
  /// @param uncachedTokens prompt tokens that the engine is expected to prefill.
  void recordSent(const EngineLife& life, const BlockChain& chain, int64_t uncachedTokens,
                  Time now);
  /// Records that a request sent by this node ended on the engine or was abandoned.
  void recordEnded(const EngineLife& life, Time now);

  /// @return number of leading blocks that this node sent there within placedPrefixLifetime,
  /// rounded down to a multiple of 8 up to depth 512 and in steps of 64 beyond.
  int64_t expectedBlocks(const EngineLife& life, const BlockChain& chain, Time now) const;
  /// @return the load added after the engine took the measurement in `report`.
  PlacedLoad loadAddedSince(const EngineLife& life, const EngineLoad& report) const;

  /// Removes expired marks and load changes. Call it about once per second.
  void expire(Time now);
  size_t markCount() const { return marks_.size(); }

 private:
  struct LoadChange {
    Time at;
    PlacedLoad change;
  };
  struct MarkOrder {
    Time at;
    uint64_t key = 0;
  };

  void addMark(uint64_t key, Time now);
  void dropOldestMark();

  Duration prefixLifetime_;
  Duration loadLifetime_;
  size_t maximumMarks_;
  /// Time of the last send, by hash of engine incarnation and block.
  std::unordered_map<uint64_t, Time> marks_;
  std::deque<MarkOrder> markOrder_;  ///< Oldest first; renewed marks appear repeatedly.
  std::unordered_map<EngineId, std::deque<LoadChange>> loads_;
};

}  // namespace fernmoor
