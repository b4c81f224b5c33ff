#include "prefix/block_set.h"

#include <algorithm>
#include <utility>

namespace fernmoor {

namespace {

constexpr size_t kFirstCapacity = 64;
/// Fullest that the table gets before it grows: 17 of 20 slots.
constexpr size_t kFullNumerator = 17;
constexpr size_t kFullDenominator = 20;

bool isTooFull(size_t size, size_t capacity) {
  return size * kFullDenominator >= capacity * kFullNumerator;
}

size_t grown(size_t capacity) {
  return std::max(kFirstCapacity, capacity + capacity / 4);
}

}  // namespace

uint64_t BlockSet::keyOf(BlockHash block) {
  const uint64_t key = block & ~uint64_t{1};
  return key == 0 ? 2 : key;  // 0 and 1 would look like an empty slot.
}

size_t BlockSet::homeSlot(uint64_t word) const {
  // Hashes are uniform, so their high bits scaled to the capacity spread evenly.
  const unsigned __int128 product = static_cast<unsigned __int128>(word) * slots_.size();
  return static_cast<size_t>(product >> 64U);
}

size_t BlockSet::findSlot(uint64_t key) const {
  size_t slot = homeSlot(key);
  while (slots_[slot] != 0 && (slots_[slot] & ~uint64_t{1}) != key) {
    slot = nextSlot(slot);
  }
  return slot;
}

void BlockSet::insert(BlockHash block) {
  if (isTooFull(size_ + 1, slots_.size())) {
    rebuild(grown(slots_.size()), true);
  }
  const uint64_t key = keyOf(block);
  const size_t slot = findSlot(key);
  size_ += slots_[slot] == 0 ? 1 : 0;
  slots_[slot] = key | currentMark_;
}

void BlockSet::erase(BlockHash block) {
  if (size_ == 0) {
    return;
  }
  const size_t slot = findSlot(keyOf(block));
  if (slots_[slot] != 0) {
    eraseSlot(slot);
  }
}

void BlockSet::eraseSlot(size_t slot) {
  // Moves later words of the run back, so that no tombstones are needed.
  size_t hole = slot;
  for (size_t next = nextSlot(hole); slots_[next] != 0; next = nextSlot(next)) {
    const size_t home = homeSlot(slots_[next] & ~uint64_t{1});
    const bool homeIsBetween =
        hole <= next ? (home > hole && home <= next) : (home > hole || home <= next);
    if (!homeIsBetween) {
      slots_[hole] = slots_[next];
      hole = next;
    }
  }
  slots_[hole] = 0;
  --size_;
}

BlockPresence BlockSet::find(BlockHash block) const {
  if (size_ == 0) {
    return BlockPresence::kAbsent;
  }
  const uint64_t word = slots_[findSlot(keyOf(block))];
  if (word == 0) {
    return BlockPresence::kAbsent;
  }
  return isDoubtful(word) ? BlockPresence::kDoubtful : BlockPresence::kHeld;
}

void BlockSet::clear() {
  slots_ = {};
  size_ = 0;
}

void BlockSet::doubtAll() {
  dropDoubtful();
  currentMark_ ^= 1U;
}

void BlockSet::dropDoubtful() {
  const bool anyDoubtful = std::any_of(slots_.begin(), slots_.end(), [this](uint64_t word) {
    return word != 0 && isDoubtful(word);
  });
  if (anyDoubtful) {
    rebuild(slots_.size(), false);
  }
}

void BlockSet::rebuild(size_t capacity, bool keepDoubtful) {
  std::vector<uint64_t> old(capacity, 0);
  std::swap(old, slots_);
  size_ = 0;
  for (const uint64_t word : old) {
    if (word == 0 || (!keepDoubtful && isDoubtful(word))) {
      continue;
    }
    slots_[findSlot(word & ~uint64_t{1})] = word;
    ++size_;
  }
}

}  // namespace fernmoor
