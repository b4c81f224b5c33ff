#include "gateway/engine_occupancy.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// Known parts of an engine at most. Those beyond are counted with each request, as if they were
/// not shared.
constexpr size_t kMaxKnownParts = 512;

/// @return the shared parts without repeated keys and without tokens beyond the end of the prompt,
///         which only an invalid demand has.
std::vector<SharedPart> validParts(const EngineDemand& demand) {
  std::vector<SharedPart> valid;
  uint64_t left = std::min(demand.promptTokens, demand.memoryTokens);
  for (const SharedPart& part : demand.sharedParts) {
    const bool isRepeated = std::any_of(
        valid.begin(), valid.end(), [&](const SharedPart& each) { return each.key == part.key; });
    if (isRepeated || part.tokens > left) {
      break;
    }
    left -= part.tokens;
    valid.push_back(part);
  }
  return valid;
}

}  // namespace

void EngineOccupancy::setCapacity(const EngineRoom& capacity) {
  capacity_ = capacity;
  evictBeyondMemory();
}

uint64_t EngineOccupancy::readingTokens(const EngineDemand& demand) const {
  uint64_t tokens = demand.promptTokens;
  for (const SharedPart& part : validParts(demand)) {
    if (parts_.count(part.key) == 0) {
      break;
    }
    tokens -= part.tokens;
  }
  return std::max<uint64_t>(tokens, 1);  // Engines always compute the last token.
}

uint64_t EngineOccupancy::addedMemoryTokens(const EngineDemand& demand) const {
  uint64_t tokens = demand.memoryTokens;
  for (const SharedPart& part : validParts(demand)) {
    const auto known = parts_.find(part.key);
    tokens -= known != parts_.end() && known->second.users > 0 ? part.tokens : 0;
  }
  return tokens;
}

MissingRoom EngineOccupancy::missingRoom(const EngineDemand& demand) const {
  MissingRoom missing;
  missing.unreadTokens = unreadTokens();
  if (capacity_.places > 0 && present_ >= capacity_.places) {
    missing.places = present_ - capacity_.places + 1;
  }
  // Waiting does not help a request that is larger than an idle engine's memory.
  const uint64_t needed = occupiedTokens() + addedMemoryTokens(demand);
  if (capacity_.memoryTokens > 0 && present_ > 0 && needed > capacity_.memoryTokens) {
    missing.memoryTokens = needed - capacity_.memoryTokens;
  }
  return missing;
}

bool EngineOccupancy::use(const SharedPart& shared) {
  const auto known = parts_.find(shared.key);
  if (known == parts_.end()) {
    if (parts_.size() >= kMaxKnownParts && unused_.empty()) {
      return false;
    }
    if (parts_.size() >= kMaxKnownParts) {
      evictLeastRecentlyUsed();
    }
    parts_[shared.key] = Part{shared.tokens, 1, false, unused_.end()};
    usedPartTokens_ += shared.tokens;
    unreadPartTokens_ += shared.tokens;
    return true;
  }
  Part& part = known->second;
  if (part.users == 0) {
    unused_.erase(part.position);
    cachedTokens_ -= part.tokens;
    usedPartTokens_ += part.tokens;
  }
  ++part.users;
  return true;
}

Occupant EngineOccupancy::add(const EngineDemand& demand) {
  Occupant occupant;
  occupant.ownMemoryTokens = demand.memoryTokens;
  occupant.ownUnreadTokens = demand.promptTokens;
  bool isCachedSoFar = true;
  for (const SharedPart& shared : validParts(demand)) {
    const bool isKnown = parts_.count(shared.key) > 0;
    isCachedSoFar = isCachedSoFar && isKnown;
    if (!use(shared)) {
      break;
    }
    knowsParts_ = true;
    occupant.parts.push_back(shared.key);
    occupant.ownMemoryTokens -= shared.tokens;
    // A known part behind a missing one has to be read again, by this request alone.
    occupant.ownUnreadTokens -= isKnown && !isCachedSoFar ? 0 : shared.tokens;
  }
  ++present_;
  ownMemoryTokens_ += occupant.ownMemoryTokens;
  ownUnreadTokens_ += occupant.ownUnreadTokens;
  evictBeyondMemory();
  return occupant;
}

void EngineOccupancy::promptRead(Occupant& occupant) {
  ownUnreadTokens_ -= occupant.ownUnreadTokens;
  occupant.ownUnreadTokens = 0;
  for (const uint64_t key : occupant.parts) {
    Part& part = parts_.at(key);
    unreadPartTokens_ -= part.isRead ? 0 : part.tokens;
    part.isRead = true;
  }
}

void EngineOccupancy::stopUsing(uint64_t key) {
  const auto found = parts_.find(key);
  Part& part = found->second;
  if (--part.users > 0) {
    return;
  }
  usedPartTokens_ -= part.tokens;
  if (!part.isRead) {
    unreadPartTokens_ -= part.tokens;
    parts_.erase(found);
    return;
  }
  cachedTokens_ += part.tokens;
  unused_.push_front(key);
  part.position = unused_.begin();
}

void EngineOccupancy::remove(const Occupant& occupant) {
  --present_;
  ownMemoryTokens_ -= occupant.ownMemoryTokens;
  ownUnreadTokens_ -= occupant.ownUnreadTokens;
  // From the last part, so that the first ones, which more prompts begin with, are evicted last.
  for (auto key = occupant.parts.rbegin(); key != occupant.parts.rend(); ++key) {
    stopUsing(*key);
  }
  evictBeyondMemory();
}

void EngineOccupancy::evictLeastRecentlyUsed() {
  const auto part = parts_.find(unused_.back());
  cachedTokens_ -= part->second.tokens;
  unused_.pop_back();
  parts_.erase(part);
}

void EngineOccupancy::evictBeyondMemory() {
  while (capacity_.memoryTokens > 0 && !unused_.empty() &&
         occupiedTokens() + cachedTokens_ > capacity_.memoryTokens) {
    evictLeastRecentlyUsed();
  }
}

}  // namespace fernmoor::gateway
