/// @file
/// A few hashes of a long chain, so that a question about it stays small.
#pragma once

#include <vector>

#include "prefix/block_chain.h"

namespace fernmoor {

/// Hashes at every stride-th block and at the last one. Strides are powers of two, so that prompts
/// of about the same length that share a prefix sample it at the same depths, and an answer for one
/// serves the other.
struct ChainSample {
  int64_t blockCount = 0;  ///< Blocks of the whole chain.
  int64_t stride = 1;
  std::vector<BlockHash> hashes;

  /// @return how many leading blocks the sampled hash stands for: its depth in the chain.
  int64_t depthOf(size_t index) const;
  /// @return how many of the sampled hashes lie at or above the depth.
  size_t hashesUpTo(int64_t depth) const;
};

/// @param count most hashes wanted, at least 1; at least half as many are taken where the chain is
/// long enough.
ChainSample sampleChain(const BlockChain& chain, size_t count);

/// @return the smallest power of two at which a chain of this length has at most `count` samples.
int64_t sampleStride(int64_t blockCount, size_t count);

}  // namespace fernmoor
