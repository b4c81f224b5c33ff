/// @file
/// A compact set of block hashes: one 64-bit word a block in an open-addressing table with linear
/// probing that grows by a quarter, so that it takes 9 to 13 bytes a block.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "prefix/block_chain.h"

namespace fernmoor {

/// Whether a block is held, and whether that was learnt since the last call of doubtAll().
enum class BlockPresence { kAbsent, kDoubtful, kHeld };

/// Not thread-safe. The lowest bit of a hash is not kept: it marks doubtful blocks, so two hashes
/// that differ only there count as one. A wrong match costs time only.
class BlockSet {
 public:
  /// Adds the block, or confirms a doubtful one.
  void insert(BlockHash block);
  void erase(BlockHash block);
  void clear();
  BlockPresence find(BlockHash block) const;

  /// Marks every block as doubtful. Blocks that were doubtful already are dropped.
  void doubtAll();
  /// Drops the doubtful blocks.
  void dropDoubtful();

  size_t size() const { return size_; }
  /// @return bytes of the table.
  size_t memoryBytes() const { return slots_.capacity() * sizeof(uint64_t); }

 private:
  static uint64_t keyOf(BlockHash block);
  size_t homeSlot(uint64_t word) const;
  size_t nextSlot(size_t slot) const { return slot + 1 == slots_.size() ? 0 : slot + 1; }
  /// @return the slot of the key, or the empty slot where it belongs.
  size_t findSlot(uint64_t key) const;
  void eraseSlot(size_t slot);
  void rebuild(size_t capacity, bool keepDoubtful);
  bool isDoubtful(uint64_t word) const { return (word & 1U) != currentMark_; }

  std::vector<uint64_t> slots_;  ///< 0 where empty.
  size_t size_ = 0;
  uint64_t currentMark_ = 0;  ///< Lowest bit of the words that are not doubtful.
};

}  // namespace fernmoor
