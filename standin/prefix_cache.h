/// @file
/// Prefix blocks that an emulated engine holds: least recently used go first, each operation in
/// constant time. Not thread-safe.
#pragma once

#include <cstdint>
#include <vector>

#include "prefix/block_chain.h"

namespace fernmoor::standin {

/// Changes of one insertion, in the order in which they are published: first what went, then what
/// came, from the start of the prompt on.
struct CacheChanges {
  std::vector<BlockHash> removed;
  std::vector<BlockHash> stored;
};

class PrefixCache {
 public:
  /// @param capacity blocks held at most; at least 1.
  explicit PrefixCache(int64_t capacity);

  /// Holds the chain's blocks. Its leading blocks become the most recently used, so that a chain
  /// is lost from its end; of a chain longer than the capacity only the leading part is held.
  CacheChanges insert(const std::vector<BlockHash>& chain);
  /// Marks the chain's first blocks as used.
  void touch(const std::vector<BlockHash>& chain, int64_t blocks);
  /// @return how many leading blocks of the chain are held.
  int64_t matchedBlocks(const std::vector<BlockHash>& chain) const;
  bool contains(BlockHash block) const { return find(block) != kNone; }
  int64_t size() const { return static_cast<int64_t>(entries_.size() - freeEntries_.size()) - 1; }
  void clear();

 private:
  /// Index of an entry; entry 0 is the ring's anchor, whose next is the most recently used.
  using Index = uint32_t;
  static constexpr Index kNone = 0;
  struct Entry {
    BlockHash hash;
    Index previous;
    Index next;
  };

  Index find(BlockHash block) const;
  void unlink(Index index);
  void linkFirst(Index index);
  void moveToFirst(Index index);
  void add(BlockHash block);
  BlockHash removeLast();
  void addToTable(Index index);
  void removeFromTable(BlockHash block);
  void growTable();
  size_t home(BlockHash block) const { return static_cast<size_t>(block) & (table_.size() - 1); }
  size_t following(size_t place) const { return (place + 1) & (table_.size() - 1); }

  size_t capacity_;
  std::vector<Entry> entries_;
  std::vector<Index> freeEntries_;
  std::vector<Index> table_;  ///< Open addressing with linear probing; size is a power of two.
};

}  // namespace fernmoor::standin
