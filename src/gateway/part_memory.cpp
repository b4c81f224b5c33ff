#include "gateway/part_memory.h"

#include "common/rendezvous.h"

namespace fernmoor::gateway {

uint64_t PartMemory::keyOf(const std::string& scope, const std::string& part) {
  return stableHash(scope + "/" + part);
}

PartHint& PartMemory::touch(uint64_t key) {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    order_.splice(order_.begin(), order_, found->second);
    return found->second->hint;
  }
  if (order_.size() >= capacity_) {
    entries_.erase(order_.back().key);
    order_.pop_back();
  }
  order_.push_front(Entry{key, PartHint{}});
  entries_[key] = order_.begin();
  return order_.front().hint;
}

void PartMemory::noteRead(const std::string& scope, const std::string& part,
                          const std::string& engine, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  PartHint& hint = touch(keyOf(scope, part));
  hint.engine = engine;
  hint.readAt = now;
}

void PartMemory::noteStored(const std::string& scope, const std::string& part, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  PartHint& hint = touch(keyOf(scope, part));
  hint.isStored = true;
  hint.storedAt = now;
}

PartHint PartMemory::find(const std::string& scope, const std::string& part) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(keyOf(scope, part));
  return found == entries_.end() ? PartHint{} : found->second->hint;
}

size_t PartMemory::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return order_.size();
}

}  // namespace fernmoor::gateway
