#include "gateway/part_memory.h"

#include "common/rendezvous.h"

namespace fernmoor::gateway {

PartKey partKeyOf(const std::string& scope, const std::string& part) {
  return stableHash(scope + "/" + part);
}

void PartMemory::note(PartKey part, uint64_t engine, bool isStored, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(part);
  if (found != entries_.end()) {
    order_.splice(order_.begin(), order_, found->second);
  } else {
    if (order_.size() >= capacity_) {
      entries_.erase(order_.back().key);
      order_.pop_back();
    }
    order_.push_front(Entry{part, PartHint{}});
    entries_[part] = order_.begin();
  }
  PartHint& hint = order_.front().hint;
  hint.engine = engine;
  hint.readAt = now;
  if (isStored) {
    hint.isStored = true;
    hint.storedAt = now;
  }
}

PartHint PartMemory::find(PartKey part) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(part);
  return found == entries_.end() ? PartHint{} : found->second->hint;
}

size_t PartMemory::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return order_.size();
}

}  // namespace fernmoor::gateway
