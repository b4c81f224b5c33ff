/// @file
/// A few hashes of a long chain, so that a question about it stays small.
#pragma once

#include <vector>

#include "prefix/block_chain.h"

namespace fernmoor {

/// Hashes at evenly spaced depths, the last block's included.
struct ChainSample {
  int64_t blockCount = 0;  ///< Blocks of the whole chain.
  std::vector<BlockHash> hashes;

  /// @return how many leading blocks the sampled hash stands for: its depth in the chain.
  int64_t depthOf(size_t index) const;
};

/// @param count hashes wanted; fewer where the chain is shorter.
ChainSample sampleChain(const BlockChain& chain, size_t count);

}  // namespace fernmoor
