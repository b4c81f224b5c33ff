#include "standin/cache_event_log.h"

#include <algorithm>

namespace fernmoor::standin {

namespace {
constexpr size_t kEventsPerBatch = 4096;
}  // namespace

CacheEventLog::CacheEventLog(Duration delay, int64_t keptEvents)
    : delay_(delay), keptEvents_(static_cast<size_t>(std::max<int64_t>(1, keptEvents))) {}

void CacheEventLog::append(CacheEventKind kind, BlockHash block, Time now) {
  ++lastSequence_;
  if (dropped_ > 0) {
    --dropped_;
    return;
  }
  entries_.push_back(Entry{CacheEvent{lastSequence_, kind, block}, now + delay_});
  if (entries_.size() > keptEvents_) {
    entries_.pop_front();
  }
}

void CacheEventLog::restart() {
  entries_.clear();
  lastSequence_ = 0;
  dropped_ = 0;
}

std::deque<CacheEventLog::Entry>::const_iterator CacheEventLog::firstAfter(
    uint64_t sequence) const {
  return std::upper_bound(
      entries_.begin(), entries_.end(), sequence,
      [](uint64_t wanted, const Entry& entry) { return wanted < entry.event.sequence; });
}

CacheEventBatch CacheEventLog::after(uint64_t sequence, Time now) const {
  CacheEventBatch batch;
  // A reader ahead of this log read another one; it starts over.
  const bool ahead = sequence > lastSequence_;
  const uint64_t wanted = ahead ? 0 : sequence;
  uint64_t expected = wanted + 1;
  for (auto entry = firstAfter(wanted); entry != entries_.end(); ++entry) {
    const bool lost = entry->event.sequence != expected;
    if (entry->visibleAt > now || batch.events.size() >= kEventsPerBatch ||
        (lost && !batch.events.empty())) {
      break;
    }
    batch.gap = batch.gap || lost;
    batch.events.push_back(entry->event);
    expected = entry->event.sequence + 1;
  }
  batch.gap = batch.gap || ahead;
  return batch;
}

std::optional<Time> CacheEventLog::nextVisible(uint64_t sequence) const {
  const auto entry = firstAfter(sequence > lastSequence_ ? 0 : sequence);
  if (entry == entries_.end()) {
    return std::nullopt;
  }
  return entry->visibleAt;
}

}  // namespace fernmoor::standin
