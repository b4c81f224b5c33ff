#include "prefix/chain_sample.h"

#include <algorithm>

namespace fernmoor {

int64_t ChainSample::depthOf(size_t index) const {
  const auto count = static_cast<int64_t>(hashes.size());
  return (blockCount * (static_cast<int64_t>(index) + 1) + count - 1) / count;
}

ChainSample sampleChain(const BlockChain& chain, size_t count) {
  ChainSample sample;
  sample.blockCount = static_cast<int64_t>(chain.hashes.size());
  sample.hashes.resize(std::min(count, chain.hashes.size()));
  for (size_t index = 0; index < sample.hashes.size(); ++index) {
    sample.hashes[index] = chain.hashes[static_cast<size_t>(sample.depthOf(index) - 1)];
  }
  return sample;
}

}  // namespace fernmoor
