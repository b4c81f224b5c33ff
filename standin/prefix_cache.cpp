#include "standin/prefix_cache.h"

#include <algorithm>

namespace fernmoor::standin {

namespace {
constexpr size_t kFirstTableSize = 64;
}  // namespace

PrefixCache::PrefixCache(int64_t capacity)
    : capacity_(static_cast<size_t>(std::max<int64_t>(1, capacity))) {
  clear();
}

void PrefixCache::clear() {
  entries_.assign(1, Entry{0, kNone, kNone});
  freeEntries_.clear();
  table_.assign(kFirstTableSize, kNone);
}

PrefixCache::Index PrefixCache::find(BlockHash block) const {
  size_t place = home(block);
  while (table_[place] != kNone) {
    if (entries_[table_[place]].hash == block) {
      return table_[place];
    }
    place = following(place);
  }
  return kNone;
}

void PrefixCache::unlink(Index index) {
  const Entry& entry = entries_[index];
  entries_[entry.previous].next = entry.next;
  entries_[entry.next].previous = entry.previous;
}

void PrefixCache::linkFirst(Index index) {
  const Index first = entries_[0].next;
  entries_[index].previous = 0;
  entries_[index].next = first;
  entries_[first].previous = index;
  entries_[0].next = index;
}

void PrefixCache::moveToFirst(Index index) {
  unlink(index);
  linkFirst(index);
}

void PrefixCache::addToTable(Index index) {
  size_t place = home(entries_[index].hash);
  while (table_[place] != kNone) {
    place = following(place);
  }
  table_[place] = index;
}

void PrefixCache::growTable() {
  table_.assign(table_.size() * 2, kNone);
  for (Index index = entries_[0].next; index != kNone; index = entries_[index].next) {
    addToTable(index);
  }
}

void PrefixCache::removeFromTable(BlockHash block) {
  size_t hole = home(block);
  while (entries_[table_[hole]].hash != block) {
    hole = following(hole);
  }
  // Entries after the hole move up where their home allows it, so that no marker is left behind.
  size_t place = following(hole);
  while (table_[place] != kNone) {
    const size_t mask = table_.size() - 1;
    const size_t distanceFromHome = (place - home(entries_[table_[place]].hash)) & mask;
    const size_t distanceFromHole = (place - hole) & mask;
    if (distanceFromHome >= distanceFromHole) {
      table_[hole] = table_[place];
      hole = place;
    }
    place = following(place);
  }
  table_[hole] = kNone;
}

void PrefixCache::add(BlockHash block) {
  if (static_cast<size_t>(size() + 1) * 2 > table_.size()) {
    growTable();
  }
  Index index = 0;
  if (freeEntries_.empty()) {
    index = static_cast<Index>(entries_.size());
    entries_.push_back(Entry{block, kNone, kNone});
  } else {
    index = freeEntries_.back();
    freeEntries_.pop_back();
    entries_[index].hash = block;
  }
  linkFirst(index);
  addToTable(index);
}

BlockHash PrefixCache::removeLast() {
  const Index last = entries_[0].previous;
  const BlockHash block = entries_[last].hash;
  removeFromTable(block);
  unlink(last);
  freeEntries_.push_back(last);
  return block;
}

CacheChanges PrefixCache::insert(const std::vector<BlockHash>& chain) {
  CacheChanges changes;
  const size_t count = std::min(chain.size(), capacity_);
  // First the blocks already held are made recent, so that none of them gives way to its own tail.
  touch(chain, static_cast<int64_t>(count));
  for (size_t position = count; position-- > 0;) {
    const Index held = find(chain[position]);
    if (held != kNone) {
      moveToFirst(held);
      continue;
    }
    if (static_cast<size_t>(size()) >= capacity_) {
      changes.removed.push_back(removeLast());
    }
    add(chain[position]);
    changes.stored.push_back(chain[position]);
  }
  std::reverse(changes.stored.begin(), changes.stored.end());
  return changes;
}

void PrefixCache::touch(const std::vector<BlockHash>& chain, int64_t blocks) {
  for (size_t position = std::min(chain.size(), static_cast<size_t>(blocks)); position-- > 0;) {
    const Index held = find(chain[position]);
    if (held != kNone) {
      moveToFirst(held);
    }
  }
}

int64_t PrefixCache::matchedBlocks(const std::vector<BlockHash>& chain) const {
  const auto missing = std::find_if_not(chain.begin(), chain.end(),
                                        [this](BlockHash block) { return contains(block); });
  return missing - chain.begin();
}

}  // namespace fernmoor::standin
