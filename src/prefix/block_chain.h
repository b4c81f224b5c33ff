/// @file
/// Block hash chain of a prompt: the key under which engines cache prompt prefixes. Seeded with
/// tenant, model, adapter and weights version, so that one tenant's blocks never equal another's
/// and old weights' blocks never equal new ones'.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "common/ids.h"

namespace fernmoor {

/// Tokens in one cache block, as the engines' protocol states (docs/PROTOCOL-ENGINE.md).
constexpr int64_t kTokensPerBlock = 16;
/// Bytes of UTF-8 text that the engines' protocol counts as one token.
constexpr int64_t kBytesPerToken = 4;
constexpr int64_t kBytesPerBlock = kTokensPerBlock * kBytesPerToken;

/// Hash of a block and of all blocks before it.
using BlockHash = uint64_t;

/// What a chain belongs to.
struct ChainSeed {
  TenantId tenant;
  ModelId model;
  AdapterId adapter;
  WeightsVersion weightsVersion;
};

/// A prompt as the caches see it.
struct BlockChain {
  std::vector<BlockHash> hashes;  ///< One for each whole block, from the start of the prompt.
  int64_t tokenCount = 0;         ///< Tokens of the whole prompt, the unfinished block included.
};

/// @return number of tokens of a text, rounded up.
int64_t countTokens(std::string_view text);

/// Hashes a prompt. Pure; costs about 20 ns a block.
BlockChain hashPrompt(const ChainSeed& seed, std::string_view prompt);

}  // namespace fernmoor
