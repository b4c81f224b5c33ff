/// @file
/// The cache events that an emulated engine publishes: late, bounded in number, and with gaps on
/// demand. Not thread-safe.
#pragma once

#include <deque>

#include "standin/engine_model.h"

namespace fernmoor::standin {

class CacheEventLog {
 public:
  /// @param delay between a change and the moment when readers see it.
  /// @param keptEvents older ones are lost to readers that come late.
  CacheEventLog(Duration delay, int64_t keptEvents);

  void append(CacheEventKind kind, BlockHash block, Time now);
  /// Loses the next events: they take a sequence number but nobody ever sees them.
  void dropNext(int64_t count) { dropped_ += count; }
  /// Begins anew at sequence 1, as a new incarnation does.
  void restart();

  /// @return visible events after the sequence number, up to the next gap and at most a few
  /// thousand; `gap` is set where events before the first one were lost. The incarnation is left
  /// to the caller.
  CacheEventBatch after(uint64_t sequence, Time now) const;
  /// @return when an event after the sequence number is or becomes visible; none if there is none.
  std::optional<Time> nextVisible(uint64_t sequence) const;
  uint64_t lastSequence() const { return lastSequence_; }

 private:
  struct Entry {
    CacheEvent event;
    Time visibleAt;
  };
  std::deque<Entry>::const_iterator firstAfter(uint64_t sequence) const;

  Duration delay_;
  size_t keptEvents_;
  int64_t dropped_ = 0;
  uint64_t lastSequence_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace fernmoor::standin
