#include "backends/revision_times.h"

#include <algorithm>

#include "common/store_revision.h"

namespace fernmoor {

namespace {

/// Readers record two entries per second, so this covers changes that are seen up to 30 s late.
constexpr size_t kMaxTimes = 64;

}  // namespace

void RevisionTimes::noteChangeLocked(uint64_t era, const EraChange& change) {
  if (era < changedTo_) {
    return;
  }
  if (era > changedTo_ || !change_) {
    changedTo_ = era;
    change_ = change;
    return;
  }
  change_->seenAt = std::min(change_->seenAt, change.seenAt);
  if (change.lastBefore.at > change_->lastBefore.at) {
    change_->lastBefore = change.lastBefore;
  }
}

void RevisionTimes::noteChange(uint64_t era, const EraChange& change) {
  const std::lock_guard<std::mutex> lock(mutex_);
  noteChangeLocked(era, change);
}

std::optional<EraChange> RevisionTimes::change() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return change_;
}

void RevisionTimes::note(const RevisionTime& seen) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!times_.empty() && eraOf(seen.revision) > eraOf(times_.back().revision)) {
    noteChangeLocked(eraOf(seen.revision), EraChange{times_.back(), seen.at});
  }
  const auto isStronger = [&](const RevisionTime& known) {
    return known.revision <= seen.revision && known.at >= seen.at;
  };
  if (std::any_of(times_.begin(), times_.end(), isStronger)) {
    return;
  }
  const auto isWeaker = [&](const RevisionTime& known) {
    return known.revision >= seen.revision && known.at <= seen.at;
  };
  times_.erase(std::remove_if(times_.begin(), times_.end(), isWeaker), times_.end());
  const auto place = std::find_if(times_.begin(), times_.end(), [&](const RevisionTime& known) {
    return known.revision > seen.revision;
  });
  times_.insert(place, seen);
  if (times_.size() > kMaxTimes) {
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
  const bool mayBeRewrite = latest && change_ && changedTo_ == eraOf(revision) &&
                            *latest < change_->seenAt + kWrittenAgain;
  return mayBeRewrite ? std::min(*latest, change_->lastBefore.at) : latest;
}

std::optional<RevisionTime> RevisionTimes::newest() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return times_.empty() ? std::nullopt : std::optional<RevisionTime>(times_.back());
}

}  // namespace fernmoor
