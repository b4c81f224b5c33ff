/// @file
/// What this node sent to which engine lately. Until the engine's report tells of it, a prefix sent
/// there counts as cached and a request sent there as load.
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

/// Load that this node brought to an engine after its report.
struct PlacedLoad {
  /// Tokens sent, and those that the engine could have prefilled while it had nothing to do: added
  /// to the reported queue, less the whole time since at the engine's rate, they give its queue
  /// now.
  int64_t prefillTokens = 0;
  int64_t streams = 0;  ///< Started less ended, so it may be negative.
};

/// Not thread-safe; callers guard it with rank kRouting.
class PlacementMemory {
 public:
  explicit PlacementMemory(const Knobs& knobs);

  /// Notes that a request was sent.
  /// @param missedTokens prompt tokens that the engine is expected to prefill.
  void recordSent(const EngineLife& life, const BlockChain& chain, int64_t missedTokens, Time now);
  /// Notes that a request sent by this node has ended there, or was given up on.
  void recordEnded(const EngineLife& life, Time now);

  /// @return leading blocks that this node sent there within placedPrefixLifetime; exact to 8
  /// blocks up to depth 512 and to 64 blocks beyond.
  int64_t expectedBlocks(const EngineLife& life, const BlockChain& chain, Time now) const;
  /// @return load brought there after the engine measured its own.
  PlacedLoad loadSince(const EngineLife& life, const EngineLoad& report) const;

  /// Forgets what is too old. Call it about once a second.
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
  std::unordered_map<uint64_t, Time> marks_;  ///< Key of engine life and block: when last sent.
  std::deque<MarkOrder> markOrder_;           ///< Oldest first; a renewed mark stands twice.
  std::unordered_map<EngineId, std::deque<LoadChange>> loads_;
};

}  // namespace fernmoor
