/// @file
/// What other nodes need to know of the ledger of moves: which engines are about to be busy.
/// Whoever follows the ledger turns it into hints and passes only new ones on, so that what a move
/// costs each node does not grow with the length of the ledger.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "weights/move_ledger.h"

namespace fernmoor::weights {

/// One move that was about to be ordered lately.
struct MoveHint {
  std::string engine;
  uint64_t revision = 0;  ///< Of the ledger that first named it here.
  Time at;
};

/// Not thread-safe.
class MoveHints {
 public:
  /// Takes a ledger that was read.
  /// @return hints of the moves that are still young; a hint keeps the revision that it had before.
  const std::vector<MoveHint>& take(const Ledger& ledger, Time now);

 private:
  uint64_t revision_ = 0;
  std::vector<MoveHint> hints_;
};

}  // namespace fernmoor::weights
