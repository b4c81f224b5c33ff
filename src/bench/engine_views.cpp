#include "bench/engine_views.h"

#include <algorithm>

namespace fernmoor {

namespace {

EngineLife lifeOf(const EngineState& engine) {
  return EngineLife{engine.id, engine.incarnation};
}

EngineLife lifeOf(const Placement& placement) {
  return EngineLife{placement.engine, placement.incarnation};
}

}  // namespace

EngineViews::EngineViews(const Knobs& knobs) : knobs_(knobs), memory_(knobs) {}

void EngineViews::align(const EngineState& engine) {
  const RankedLock lock(viewMutex_);
  const auto found = views_.find(engine.id);
  if (found == views_.end()) {
    views_.emplace(engine.id, CacheView(engine.incarnation, engine.weightsVersion, knobs_));
    return;
  }
  found->second.alignTo(engine.incarnation, engine.weightsVersion);
}

void EngineViews::apply(const EngineId& engine, const CacheEventBatch& batch, Time now) {
  const RankedLock lock(viewMutex_);
  const auto found = views_.find(engine);
  if (found != views_.end()) {
    found->second.apply(batch, now);
  }
}

uint64_t EngineViews::sequenceOf(const EngineId& engine, Incarnation incarnation) const {
  const RankedLock lock(viewMutex_);
  const auto found = views_.find(engine);
  if (found == views_.end() || found->second.incarnation() != incarnation) {
    return 0;
  }
  return found->second.sequence();
}

void EngineViews::drop(const EngineId& engine) {
  const RankedLock lock(viewMutex_);
  views_.erase(engine);
}

std::vector<EngineKnowledge> EngineViews::knowledge(const BlockChain& chain,
                                                    const std::vector<EngineState>& engines,
                                                    Time now) const {
  std::vector<EngineKnowledge> result(engines.size());
  {
    const RankedLock lock(viewMutex_);
    for (size_t i = 0; i < engines.size(); ++i) {
      const auto found = views_.find(engines[i].id);
      const bool current = found != views_.end() &&
                           found->second.incarnation() == engines[i].incarnation &&
                           found->second.weightsVersion() == engines[i].weightsVersion;
      if (current) {
        result[i].matchedBlocks = found->second.match(chain).blocks;
        result[i].matchKnown = true;
      }
    }
  }
  const RankedLock lock(memoryMutex_);
  for (size_t i = 0; i < engines.size(); ++i) {
    const EngineLife life = lifeOf(engines[i]);
    const int64_t expected = memory_.expectedBlocks(life, chain, now);
    result[i].matchedBlocks = std::max(result[i].matchedBlocks, expected);
    result[i].placed = memory_.loadAddedSince(life, engines[i].load);
  }
  return result;
}

void EngineViews::recordSent(const Placement& placement, const BlockChain& chain,
                             int64_t uncachedTokens, Time now) {
  const RankedLock lock(memoryMutex_);
  memory_.recordSent(lifeOf(placement), chain, uncachedTokens, now);
}

void EngineViews::recordEnded(const Placement& placement, Time now) {
  const RankedLock lock(memoryMutex_);
  memory_.recordEnded(lifeOf(placement), now);
}

void EngineViews::confirm(const Placement& placement, const BlockChain& chain,
                          int64_t matchedBlocks) {
  const RankedLock lock(viewMutex_);
  const auto found = views_.find(placement.engine);
  if (found != views_.end() && found->second.incarnation() == placement.incarnation) {
    found->second.confirm(chain, matchedBlocks);
  }
}

void EngineViews::expire(Time now) {
  {
    const RankedLock lock(viewMutex_);
    for (auto& [engine, view] : views_) {
      view.expire(now);
    }
  }
  const RankedLock lock(memoryMutex_);
  memory_.expire(now);
}

std::optional<ViewFacts> EngineViews::factsOf(const EngineId& engine) const {
  const RankedLock lock(viewMutex_);
  const auto found = views_.find(engine);
  if (found == views_.end()) {
    return std::nullopt;
  }
  return ViewFacts{found->second.blockCount(), found->second.updatedAt(), found->second.counters()};
}

}  // namespace fernmoor
