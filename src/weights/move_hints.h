/// @file
/// Extracts from the ledger of weight moves what other nodes need: which engines are about to be
/// busy. The node that watches the ledger turns it into hints and forwards only new ones, so that
/// the cost of a move on each node does not grow with the length of the ledger.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "weights/move_ledger.h"

namespace fernmoor::weights {

/// A move that was recently announced in the ledger.
struct MoveHint {
  std::string engine;
  uint64_t revision = 0;  ///< Ledger revision in which this node first saw the move.
  Time at;
};

/// Not thread-safe.
class MoveHints {
 public:
  /// Updates the hints from a ledger that was read; an older revision changes nothing.
  /// @return hints for the moves of the last second; a known hint keeps its revision.
  const std::vector<MoveHint>& take(const Ledger& ledger, Time now);

 private:
  uint64_t revision_ = 0;
  std::vector<MoveHint> hints_;
};

}  // namespace fernmoor::weights
