/// @file
/// Tests of src/prefix/block_chain.h.
#include "prefix/block_chain.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {
ChainSeed seedOf(const std::string& tenant, uint64_t weights) {
  return ChainSeed{TenantId(tenant), ModelId("m"), AdapterId(""), WeightsVersion(weights)};
}
}  // namespace

TEST_CASE("prompts with a common prefix share exactly the blocks of that prefix") {
  const std::string shared(kBytesPerBlock * 3, 'r');
  const auto first = hashPrompt(seedOf("ward", 1), shared + std::string(kBytesPerBlock, 'a'));
  const auto second = hashPrompt(seedOf("ward", 1), shared + std::string(kBytesPerBlock, 'b'));
  REQUIRE(first.hashes.size() == 4);
  CHECK(first.hashes[2] == second.hashes[2]);
  CHECK(first.hashes[3] != second.hashes[3]);
}

TEST_CASE("another tenant or other weights share no block") {
  const std::string prompt(kBytesPerBlock, 'x');
  const auto own = hashPrompt(seedOf("ward", 1), prompt).hashes[0];
  CHECK(own != hashPrompt(seedOf("other", 1), prompt).hashes[0]);
  CHECK(own != hashPrompt(seedOf("ward", 2), prompt).hashes[0]);
}

TEST_CASE("an unfinished block counts as tokens but has no hash") {
  const auto chain = hashPrompt(seedOf("ward", 1), std::string(kBytesPerBlock + 5, 'x'));
  CHECK(chain.hashes.size() == 1);
  CHECK(chain.tokenCount == kTokensPerBlock + 2);
}

}  // namespace fernmoor
