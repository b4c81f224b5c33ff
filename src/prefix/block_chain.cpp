#include "prefix/block_chain.h"

#include <xxhash.h>

#include <string>

namespace fernmoor {

namespace {

/// Lengths go before the names, so that no two different seeds give the same bytes.
void appendField(std::string& bytes, const std::string& field) {
  const uint64_t length = field.size();
  bytes.append(reinterpret_cast<const char*>(&length), sizeof(length));
  bytes += field;
}

uint64_t hashSeed(const ChainSeed& seed) {
  std::string bytes;
  appendField(bytes, seed.tenant.value());
  appendField(bytes, seed.model.value());
  appendField(bytes, seed.adapter.value());
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed.weightsVersion.value());
}

}  // namespace

int64_t countTokens(std::string_view text) {
  return (static_cast<int64_t>(text.size()) + kBytesPerToken - 1) / kBytesPerToken;
}

BlockChain hashPrompt(const ChainSeed& seed, std::string_view prompt) {
  BlockChain chain;
  chain.tokenCount = countTokens(prompt);
  const size_t blocks = prompt.size() / static_cast<size_t>(kBytesPerBlock);
  chain.hashes.reserve(blocks);
  uint64_t parent = hashSeed(seed);
  for (size_t block = 0; block < blocks; ++block) {
    const char* start = prompt.data() + block * static_cast<size_t>(kBytesPerBlock);
    parent = XXH3_64bits_withSeed(start, static_cast<size_t>(kBytesPerBlock), parent);
    chain.hashes.push_back(parent);
  }
  return chain;
}

}  // namespace fernmoor
