/// @file
/// Tests of src/prefix/block_set.h and chain_sample.h.
#include "prefix/block_set.h"

#include <doctest/doctest.h>

#include <unordered_set>

#include "common/random.h"
#include "prefix/chain_sample.h"

namespace fernmoor {

TEST_CASE("the set agrees with a plain set through random inserts and erases") {
  BlockSet blocks;
  std::unordered_set<BlockHash> expected;
  Random random(11);
  std::vector<BlockHash> universe(3000);
  for (BlockHash& block : universe) {
    block = random.next() & ~uint64_t{1};
  }
  universe[0] = 0;
  universe[1] = ~uint64_t{1};  // Its run wraps around the end of the table.
  for (int step = 0; step < 40000; ++step) {
    const BlockHash block = universe[random.below(universe.size())];
    if (random.chance(0.55)) {
      blocks.insert(block);
      expected.insert(block);
    } else {
      blocks.erase(block);
      expected.erase(block);
    }
  }
  CHECK(blocks.size() == expected.size());
  for (const BlockHash block : universe) {
    REQUIRE((blocks.find(block) == BlockPresence::kHeld) == (expected.count(block) == 1));
  }
}

TEST_CASE("doubtful blocks are confirmed by a new insert or dropped") {
  BlockSet blocks;
  blocks.insert(100);
  blocks.insert(200);
  blocks.doubtAll();
  CHECK(blocks.find(100) == BlockPresence::kDoubtful);
  blocks.insert(100);
  CHECK(blocks.find(100) == BlockPresence::kHeld);
  blocks.doubtAll();  // Doubtful for the second time: 200 goes.
  CHECK(blocks.find(100) == BlockPresence::kDoubtful);
  CHECK(blocks.find(200) == BlockPresence::kAbsent);
  blocks.dropDoubtful();
  CHECK(blocks.size() == 0);
}

TEST_CASE("an engine's 183,000 blocks take at most 13 bytes each") {
  BlockSet blocks;
  Random random(5);
  double worst = 0;
  for (size_t count = 1; count <= 183000; ++count) {
    blocks.insert(random.next());
    if (count >= 10000) {
      worst =
          std::max(worst, static_cast<double>(blocks.memoryBytes()) / static_cast<double>(count));
    }
  }
  const double now = static_cast<double>(blocks.memoryBytes()) / 183000.0;
  MESSAGE("bytes a block: " << now << " at 183,000 blocks, at worst " << worst);
  CHECK(worst <= 13.0);
}

TEST_CASE("a sample is taken at powers of two and ends with the last block") {
  BlockChain chain;
  for (uint64_t block = 1; block <= 100; ++block) {
    chain.hashes.push_back(block);
  }
  const ChainSample sample = sampleChain(chain, 16);
  REQUIRE(sample.hashes.size() == 13);
  CHECK(sample.depthOf(0) == 8);
  CHECK(sample.hashes.back() == 100);
  for (size_t index = 0; index < sample.hashes.size(); ++index) {
    CHECK(static_cast<int64_t>(sample.hashes[index]) == sample.depthOf(index));
  }
  chain.hashes.resize(3);
  CHECK(sampleChain(chain, 16).hashes.size() == 3);
  CHECK(sampleChain(BlockChain{}, 16).hashes.empty());
  CHECK(sampleStride(128, 16) == 8);
  CHECK(sampleStride(129, 16) == 16);
}

}  // namespace fernmoor
