/// @file
/// Cost of hashing a prompt into its block chain.
#include <string>

#include "bench/slopes.h"
#include "prefix/block_chain.h"

namespace fernmoor::bench {

namespace {

/// Tokens of the longest prompts of both deployments, about 12,000.
constexpr double kTargetBlocks = 750;

}  // namespace

std::vector<Slope> measurePromptHashing() {
  Slope slope;
  slope.name = "hash-time";
  slope.what = "processor time of hashing one prompt into its block chain";
  slope.sizeUnit = "blocks of 16 tokens";
  slope.costUnit = "us";
  slope.mechanism = "hashPrompt (src/prefix/block_chain.cpp)";
  slope.targetSize = kTargetBlocks;
  const ChainSeed seed{TenantId("tenant"), ModelId("model"), AdapterId(), WeightsVersion(1)};
  for (const int blocks : {1, 10, 100, 300, 1000, 3000}) {
    const std::string prompt(static_cast<size_t>(blocks * kBytesPerBlock), 'x');
    const double seconds = secondsPerCall([&] { hashPrompt(seed, prompt); });
    slope.points.push_back(Point{static_cast<double>(blocks), seconds * 1e6});
  }
  return {slope};
}

}  // namespace fernmoor::bench
