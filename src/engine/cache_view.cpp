#include "engine/cache_view.h"

#include <algorithm>

namespace fernmoor {

CacheView::CacheView(Incarnation incarnation, WeightsVersion weightsVersion, const Knobs& knobs)
    : incarnation_(incarnation),
      weightsVersion_(weightsVersion),
      doubtfulLifetime_(knobs.doubtfulBlockLifetime) {}

void CacheView::apply(const CacheEventBatch& batch, Time now) {
  if (batch.incarnation < incarnation_) {
    return;
  }
  if (batch.incarnation > incarnation_) {
    reset(batch.incarnation);
  }
  updatedAt_ = now;
  if (batch.gap) {
    markGap(now);
    // Lost events are not requested again: the sequence resumes after them.
    sequence_ = batch.events.empty() ? sequence_ : batch.events.front().sequence - 1;
  }
  for (const CacheEvent& event : batch.events) {
    if (event.sequence <= sequence_) {
      continue;
    }
    if (event.sequence != sequence_ + 1) {
      markGap(now);
    }
    sequence_ = event.sequence;
    applyEvent(event);
  }
}

void CacheView::applyEvent(const CacheEvent& event) {
  ++counters_.events;
  switch (event.kind) {
    case CacheEventKind::kStored:
      blocks_.insert(event.block);
      return;
    case CacheEventKind::kRemoved:
      blocks_.erase(event.block);
      return;
    case CacheEventKind::kCleared:
      blocks_.clear();
      anyDoubtful_ = false;
      return;
  }
}

void CacheView::alignTo(Incarnation incarnation, WeightsVersion weightsVersion) {
  if (incarnation > incarnation_) {
    reset(incarnation);
  }
  if (weightsVersion != weightsVersion_) {
    // The engine continues its event numbering, so the sequence is kept.
    weightsVersion_ = weightsVersion;
    blocks_.clear();
    anyDoubtful_ = false;
    ++counters_.resets;
  }
}

void CacheView::reset(Incarnation incarnation) {
  incarnation_ = incarnation;
  sequence_ = 0;
  blocks_.clear();
  anyDoubtful_ = false;
  ++counters_.resets;
}

void CacheView::markGap(Time now) {
  ++counters_.gaps;
  blocks_.doubtAll();
  anyDoubtful_ = true;
  doubtfulSince_ = now;
}

void CacheView::confirm(const BlockChain& chain, int64_t matchedBlocks) {
  const size_t held =
      std::min(static_cast<size_t>(std::max<int64_t>(0, matchedBlocks)), chain.hashes.size());
  for (size_t block = 0; block < held; ++block) {
    blocks_.insert(chain.hashes[block]);
  }
  if (held < chain.hashes.size() && blocks_.find(chain.hashes[held]) == BlockPresence::kDoubtful) {
    blocks_.erase(chain.hashes[held]);
  }
}

void CacheView::expire(Time now) {
  if (anyDoubtful_ && now - doubtfulSince_ > doubtfulLifetime_) {
    blocks_.dropDoubtful();
    anyDoubtful_ = false;
  }
}

CacheMatch CacheView::match(const BlockChain& chain) const {
  CacheMatch match;
  for (const BlockHash block : chain.hashes) {
    const BlockPresence presence = blocks_.find(block);
    if (presence == BlockPresence::kAbsent) {
      break;
    }
    match.doubtful = match.doubtful || presence == BlockPresence::kDoubtful;
    ++match.blocks;
  }
  return match;
}

CacheMatch CacheView::match(const ChainSample& sample) const {
  const auto firstAbsent = std::partition_point(
      sample.hashes.begin(), sample.hashes.end(),
      [this](BlockHash hash) { return blocks_.find(hash) != BlockPresence::kAbsent; });
  const auto held = static_cast<size_t>(firstAbsent - sample.hashes.begin());
  CacheMatch match;
  if (held > 0) {
    match.blocks = sample.depthOf(held - 1);
    match.doubtful = blocks_.find(sample.hashes[held - 1]) == BlockPresence::kDoubtful;
  }
  return match;
}

}  // namespace fernmoor
