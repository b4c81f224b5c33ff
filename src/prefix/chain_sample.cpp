#include "prefix/chain_sample.h"

#include <algorithm>

namespace fernmoor {

int64_t sampleStride(int64_t blockCount, size_t count) {
  const auto most = std::max<int64_t>(1, static_cast<int64_t>(count));
  int64_t stride = 1;
  while ((blockCount + stride - 1) / stride > most) {
    stride *= 2;
  }
  return stride;
}

int64_t ChainSample::depthOf(size_t index) const {
  return std::min(blockCount, (static_cast<int64_t>(index) + 1) * stride);
}

size_t ChainSample::hashesUpTo(int64_t depth) const {
  return depth >= blockCount ? hashes.size() : static_cast<size_t>(depth / stride);
}

ChainSample sampleChain(const BlockChain& chain, size_t count) {
  ChainSample sample;
  sample.blockCount = static_cast<int64_t>(chain.hashes.size());
  sample.stride = sampleStride(sample.blockCount, count);
  sample.hashes.resize(
      static_cast<size_t>((sample.blockCount + sample.stride - 1) / sample.stride));
  for (size_t index = 0; index < sample.hashes.size(); ++index) {
    sample.hashes[index] = chain.hashes[static_cast<size_t>(sample.depthOf(index) - 1)];
  }
  return sample;
}

}  // namespace fernmoor
