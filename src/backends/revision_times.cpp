#include "backends/revision_times.h"

#include <algorithm>

namespace fernmoor {

namespace {

/// Readers note two a second: enough for news that are half a minute late.
constexpr size_t kTimesKept = 64;

}  // namespace

void RevisionTimes::note(const RevisionTime& seen) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto tellsMore = [&](const RevisionTime& known) {
    return known.revision <= seen.revision && known.at >= seen.at;
  };
  if (std::any_of(times_.begin(), times_.end(), tellsMore)) {
    return;
  }
  const auto tellsLess = [&](const RevisionTime& known) {
    return known.revision >= seen.revision && known.at <= seen.at;
  };
  times_.erase(std::remove_if(times_.begin(), times_.end(), tellsLess), times_.end());
  const auto place = std::find_if(times_.begin(), times_.end(), [&](const RevisionTime& known) {
    return known.revision > seen.revision;
  });
  times_.insert(place, seen);
  if (times_.size() > kTimesKept) {
    times_.pop_front();
  }
}

std::optional<Time> RevisionTimes::notBefore(uint64_t revision) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::optional<Time> latest;
  for (const RevisionTime& known : times_) {
    if (known.revision < revision) {
      latest = known.at;
    }
  }
  return latest;
}

std::optional<RevisionTime> RevisionTimes::newest() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return times_.empty() ? std::nullopt : std::optional<RevisionTime>(times_.back());
}

}  // namespace fernmoor
