#include "routing/placement_memory.h"

#include <algorithm>

#include "common/rendezvous.h"

namespace fernmoor {

namespace {

/// Prefix depths, in blocks, at which a mark is stored: every 8 blocks up to depth 512, then every
/// 64 blocks.
constexpr size_t kFineStep = 8;
constexpr size_t kFineDepth = 512;
constexpr size_t kCoarseStep = 64;

size_t nextMarkDepth(size_t depth) {
  return depth < kFineDepth ? depth + kFineStep : depth + kCoarseStep;
}

}  // namespace

PlacementMemory::PlacementMemory(const Knobs& knobs)
    : prefixLifetime_(knobs.placedPrefixLifetime),
      loadLifetime_(knobs.placedLoadLifetime),
      maximumMarks_(static_cast<size_t>(knobs.placementMarks)) {}

void PlacementMemory::recordSent(const EngineLife& life, const BlockChain& chain,
                                 int64_t uncachedTokens, Time now) {
  loads_[life.engine].push_back(LoadChange{now, PlacedLoad{uncachedTokens, 1}});
  const uint64_t engine = engineLifeHash(life);
  for (size_t depth = kFineStep; depth <= chain.hashes.size(); depth = nextMarkDepth(depth)) {
    addMark(rendezvousWeight(chain.hashes[depth - 1], engine), now);
  }
}

void PlacementMemory::recordEnded(const EngineLife& life, Time now) {
  loads_[life.engine].push_back(LoadChange{now, PlacedLoad{0, -1}});
}

int64_t PlacementMemory::expectedBlocks(const EngineLife& life, const BlockChain& chain,
                                        Time now) const {
  const uint64_t engine = engineLifeHash(life);
  size_t matched = 0;
  for (size_t depth = kFineStep; depth <= chain.hashes.size(); depth = nextMarkDepth(depth)) {
    const auto mark = marks_.find(rendezvousWeight(chain.hashes[depth - 1], engine));
    if (mark == marks_.end() || now - mark->second > prefixLifetime_) {
      break;
    }
    matched = depth;
  }
  return static_cast<int64_t>(matched);
}

PlacedLoad PlacementMemory::loadAddedSince(const EngineLife& life, const EngineLoad& report) const {
  PlacedLoad sum;
  const auto found = loads_.find(life.engine);
  if (found == loads_.end()) {
    return sum;
  }
  const auto first = std::partition_point(
      found->second.begin(), found->second.end(),
      [&](const LoadChange& change) { return change.at <= report.measuredAt; });
  auto queue = static_cast<double>(report.queuedPrefillTokens);
  double idleTokens = 0;
  Time at = report.measuredAt;
  for (auto change = first; change != found->second.end(); ++change) {
    queue -= toSeconds(change->at - at) * report.prefillTokensPerSecond;
    idleTokens += std::max(0.0, -queue);
    queue = std::max(0.0, queue) + static_cast<double>(change->change.prefillTokens);
    at = change->at;
    sum.prefillTokens += change->change.prefillTokens;
    sum.streams += change->change.streams;
  }
  sum.prefillTokens += static_cast<int64_t>(idleTokens);
  return sum;
}

void PlacementMemory::addMark(uint64_t key, Time now) {
  marks_[key] = now;
  markOrder_.push_back(MarkOrder{now, key});
  while (markOrder_.size() > maximumMarks_) {
    dropOldestMark();
  }
}

void PlacementMemory::dropOldestMark() {
  const MarkOrder oldest = markOrder_.front();
  markOrder_.pop_front();
  const auto mark = marks_.find(oldest.key);
  if (mark != marks_.end() && mark->second == oldest.at) {
    marks_.erase(mark);
  }
}

void PlacementMemory::expire(Time now) {
  while (!markOrder_.empty() && now - markOrder_.front().at > prefixLifetime_) {
    dropOldestMark();
  }
  for (auto entry = loads_.begin(); entry != loads_.end();) {
    std::deque<LoadChange>& changes = entry->second;
    while (!changes.empty() && now - changes.front().at > loadLifetime_) {
      changes.pop_front();
    }
    entry = changes.empty() ? loads_.erase(entry) : std::next(entry);
  }
}

}  // namespace fernmoor
