/// @file
/// The simulator's clock: it stands still until it is moved.
#pragma once

#include <atomic>

#include "common/time.h"

namespace fernmoor::sim {

/// A clock that the EventQueue moves forward. Reading is thread-safe.
class VirtualClock : public Clock {
 public:
  /// Where virtual time begins: not at zero, so that code which looks back over a window of time
  /// does not meet negative instants.
  static constexpr Time kStart{std::chrono::hours(1)};
  /// Wall clock at kStart, in microseconds since 1970 (2024-01-01).
  static constexpr int64_t kWallStart = 1704067200000000;

  Time now() const override { return Time(Duration(now_.load(std::memory_order_relaxed))); }
  int64_t wallMicroseconds() const override { return kWallStart + (now() - kStart).count(); }

  /// Moves the clock; an instant in the past leaves it where it is.
  void advanceTo(Time instant) {
    if (instant > now()) {
      now_.store(instant.time_since_epoch().count(), std::memory_order_relaxed);
    }
  }

 private:
  std::atomic<int64_t> now_{kStart.time_since_epoch().count()};
};

}  // namespace fernmoor::sim
