#include "gateway/engine_permits.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// Unused permits of an engine accumulate for at most this time, but to at least one permit.
constexpr double kBurstSeconds = 0.5;
constexpr Duration kUnusedAfter{20000000};

double burstOf(double rate) {
  return std::max(1.0, rate * kBurstSeconds);
}

}  // namespace

EnginePermits::Schedule& EnginePermits::scheduleOf(uint64_t engine, double rate, Time now) {
  const auto added = schedules_.try_emplace(
      engine,
      Schedule{TokenBucket(rate, burstOf(rate), now), rate, now, PermitCounts{engine, 0, 0}});
  Schedule& schedule = added.first->second;
  if (added.second || rate < schedule.rate) {
    // A new bucket starts empty, and permits accumulated under a higher limit are discarded, as
    // they would exceed the lower one.
    schedule.bucket.charge(std::max(0.0, schedule.bucket.tokens(now)), now);
  }
  if (rate != schedule.rate) {
    schedule.bucket.configure(rate, burstOf(rate), now);
    schedule.rate = rate;
  }
  schedule.usedAt = now;
  return schedule;
}

void EnginePermits::expect(uint64_t engine, double rate, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  scheduleOf(engine, rate, now);
}

PermitOffer EnginePermits::take(uint64_t engine, double rate, Duration longestWait, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Schedule& schedule = scheduleOf(engine, rate, now);
  PermitOffer offer;
  offer.wait = schedule.bucket.timeUntilToken(now);
  offer.isTaken = offer.wait <= longestWait;
  if (offer.isTaken) {
    schedule.bucket.charge(1.0, now);
    ++schedule.counts.given;
  } else {
    ++schedule.counts.withheld;
  }
  return offer;
}

void EnginePermits::giveBack(uint64_t engine, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = schedules_.find(engine);
  if (found == schedules_.end()) {
    return;
  }
  found->second.bucket.charge(-1.0, now);
  found->second.counts.given -= std::min<uint32_t>(1, found->second.counts.given);
}

std::vector<PermitCounts> EnginePermits::takeCounts() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<PermitCounts> counts;
  for (auto& schedule : schedules_) {
    PermitCounts& own = schedule.second.counts;
    if (own.given + own.withheld > 0) {
      counts.push_back(own);
      own = PermitCounts{own.engine, 0, 0};
    }
  }
  return counts;
}

void EnginePermits::forgetUnused(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto schedule = schedules_.begin(); schedule != schedules_.end();) {
    const bool isUnused = now - schedule->second.usedAt > kUnusedAfter;
    schedule = isUnused ? schedules_.erase(schedule) : std::next(schedule);
  }
}

}  // namespace fernmoor::gateway
