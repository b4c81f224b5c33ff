#include "backends/standstills.h"

namespace fernmoor {

namespace {

/// A busy machine delays a thread by less; a shorter standstill is lost in the margins of bounds.
constexpr Duration kShortest{600000};
/// What waited on the sockets has been read by then.
constexpr Duration kCatchUp{1000000};

}  // namespace

void Standstills::tick(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (lastTick_ != Time() && now - lastTick_ > kShortest) {
    stoodFrom_ = lastTick_;
    resumedAt_ = now;
  }
  lastTick_ = now;
}

Time Standstills::ranUntil(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (lastTick_ == Time()) {
    return now;
  }
  // The thread that ticks may be the last one to run again.
  if (now - lastTick_ > kShortest) {
    return lastTick_;
  }
  return resumedAt_ != Time() && now - resumedAt_ < kCatchUp ? stoodFrom_ : now;
}

}  // namespace fernmoor
