/// @file
/// Tests of src/engine/cache_view.h.
#include "engine/cache_view.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

constexpr Time kNow{Duration(1000000)};

BlockChain chainOf(uint64_t first, size_t blocks) {
  BlockChain chain;
  for (size_t block = 0; block < blocks; ++block) {
    chain.hashes.push_back(first + 2 * block);
  }
  return chain;
}

CacheEventBatch storedBatch(uint64_t incarnation, uint64_t firstSequence, const BlockChain& chain) {
  CacheEventBatch batch;
  batch.incarnation = Incarnation(incarnation);
  for (const BlockHash block : chain.hashes) {
    batch.events.push_back(CacheEvent{firstSequence++, CacheEventKind::kStored, block});
  }
  return batch;
}

CacheView viewOf(uint64_t incarnation) {
  return CacheView(Incarnation(incarnation), WeightsVersion(1), Knobs{});
}

}  // namespace

TEST_CASE("a view matches the leading blocks that were stored and not removed") {
  CacheView view = viewOf(1);
  const BlockChain chain = chainOf(1000, 64);
  view.apply(storedBatch(1, 1, chain), kNow);
  CHECK(view.match(chain).blocks == 64);
  CHECK(view.match(sampleChain(chain, 16)).blocks == 64);
  CacheEventBatch removal;
  removal.incarnation = Incarnation(1);
  for (size_t block = 40; block < 64; ++block) {
    removal.events.push_back(
        CacheEvent{65 + block - 40, CacheEventKind::kRemoved, chain.hashes[block]});
  }
  view.apply(removal, kNow);
  CHECK(view.match(chain).blocks == 40);
  CHECK(view.match(sampleChain(chain, 16)).blocks == 40);
  CHECK_FALSE(view.match(chain).doubtful);
  CHECK(view.match(chainOf(5000, 8)).blocks == 0);
}

TEST_CASE("duplicate events are ignored; a gap in the sequence makes the view doubtful") {
  CacheView view = viewOf(1);
  const BlockChain chain = chainOf(1000, 8);
  view.apply(storedBatch(1, 1, chain), kNow);
  view.apply(storedBatch(1, 1, chain), kNow);
  CHECK(view.counters().gaps == 0);
  CHECK(view.sequence() == 8);
  const BlockChain later = chainOf(9000, 4);
  view.apply(storedBatch(1, 20, later), kNow);
  CHECK(view.counters().gaps == 1);
  CHECK(view.match(chain).doubtful);
  CHECK_FALSE(view.match(later).doubtful);
  view.expire(kNow + Duration(6000000));
  CHECK(view.match(chain).blocks == 0);
  CHECK(view.match(later).blocks == 4);
}

TEST_CASE("a batch that reports a gap counts it once") {
  CacheView view = viewOf(1);
  view.apply(storedBatch(1, 1, chainOf(1000, 2)), kNow);
  CacheEventBatch batch = storedBatch(1, 10, chainOf(2000, 2));
  batch.gap = true;
  view.apply(batch, kNow);
  CHECK(view.counters().gaps == 1);
  CHECK(view.sequence() == 11);
}

TEST_CASE(
    "an answer confirms the blocks that the engine held and drops the first one that it lacked") {
  CacheView view = viewOf(1);
  const BlockChain chain = chainOf(1000, 8);
  view.apply(storedBatch(1, 1, chain), kNow);
  view.apply(storedBatch(1, 20, chainOf(9000, 1)), kNow);
  view.confirm(chain, 3);
  CHECK(view.match(chain).blocks == 3);
  CHECK_FALSE(view.match(chain).doubtful);
}

TEST_CASE("a view of an earlier incarnation or other weights is dropped") {
  CacheView view = viewOf(1);
  const BlockChain chain = chainOf(1000, 8);
  view.apply(storedBatch(1, 1, chain), kNow);
  view.apply(storedBatch(2, 1, chainOf(3000, 2)), kNow);
  CHECK(view.match(chain).blocks == 0);
  CHECK(view.match(chainOf(3000, 2)).blocks == 2);
  view.apply(storedBatch(1, 9, chain), kNow);  // Late, from the previous incarnation.
  CHECK(view.match(chain).blocks == 0);
  view.alignTo(Incarnation(2), WeightsVersion(2));
  CHECK(view.blockCount() == 0);
  CHECK(view.sequence() == 2);
}

}  // namespace fernmoor
