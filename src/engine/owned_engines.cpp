#include "engine/owned_engines.h"

#include <algorithm>

namespace fernmoor {

void OwnedEngines::update(const EngineState& state, Time now) {
  const RankedLock lock(mutex_);
  const auto added = entries_.try_emplace(
      state.id, Entry{state, CacheView(state.incarnation, state.weightsVersion, knobs_)});
  Entry& entry = added.first->second;
  if (state.incarnation < entry.state.incarnation) {
    return;
  }
  entry.state = state;
  entry.view.alignTo(state.incarnation, state.weightsVersion);
}

void OwnedEngines::drop(const EngineId& engine) {
  const RankedLock lock(mutex_);
  entries_.erase(engine);
}

void OwnedEngines::apply(const EngineId& engine, const CacheEventBatch& batch, Time now) {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  if (found != entries_.end()) {
    found->second.view.apply(batch, now);
  }
}

void OwnedEngines::confirm(const EngineId& engine, Incarnation incarnation, const BlockChain& chain,
                           int64_t matchedBlocks) {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  if (found != entries_.end() && found->second.view.incarnation() == incarnation) {
    found->second.view.confirm(chain, matchedBlocks);
  }
}

void OwnedEngines::expire(Time now) {
  const RankedLock lock(mutex_);
  for (auto& entry : entries_) {
    entry.second.view.expire(now);
  }
}

uint64_t OwnedEngines::sequence(const EngineId& engine) const {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  return found == entries_.end() ? 0 : found->second.view.sequence();
}

bool OwnedEngines::owns(const EngineId& engine) const {
  const RankedLock lock(mutex_);
  return entries_.count(engine) > 0;
}

std::vector<EngineState> OwnedEngines::states() const {
  const RankedLock lock(mutex_);
  std::vector<EngineState> states;
  states.reserve(entries_.size());
  for (const auto& entry : entries_) {
    states.push_back(entry.second.state);
  }
  return states;
}

std::optional<EngineProbe> OwnedEngines::probe(const EngineId& engine,
                                               const ChainSample& sample) const {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  EngineProbe probe;
  probe.engine = engine;
  probe.incarnation = entry.view.incarnation();
  probe.match = entry.view.match(sample);
  probe.matchedHashes = sample.hashesUpTo(probe.match.blocks);
  probe.load = entry.state.load;
  return probe;
}

OwnedEnginesSummary OwnedEngines::summary(Time now) const {
  const RankedLock lock(mutex_);
  OwnedEnginesSummary summary;
  for (const auto& entry : entries_) {
    const CacheView& view = entry.second.view;
    ++summary.engines;
    summary.blocks += view.blockCount();
    summary.memoryBytes += view.memoryBytes();
    summary.oldestView = std::max(summary.oldestView, now - view.updatedAt());
    summary.counters.events += view.counters().events;
    summary.counters.gaps += view.counters().gaps;
    summary.counters.resets += view.counters().resets;
  }
  return summary;
}

std::optional<OwnedViewStats> OwnedEngines::viewOf(const EngineId& engine) const {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return OwnedViewStats{found->second.view.blockCount(), found->second.view.updatedAt()};
}

}  // namespace fernmoor
