/// @file
/// Time as the decisions see it: a monotonic instant that the caller passes in, so that the same
/// code runs under the real clock, the simulator's clock and a test's clock.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace fernmoor {

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Tag of the machine's monotonic clock; it has no relation to the wall clock.
struct MonotonicTag {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicTag, Duration>;
  static constexpr bool is_steady = true;
};
/// An instant of the monotonic clock.
using Time = MonotonicTag::time_point;

using std::chrono::duration_cast;

/// @return the length in seconds, with its fraction.
inline double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}
/// @return the length in milliseconds, with its fraction.
inline double toMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}
/// @return a length from seconds, rounded down to a microsecond.
inline Duration fromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

/// Where the running program gets the time from. Thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  /// @return the monotonic instant.
  virtual Time now() const = 0;
  /// @return microseconds since 1970, for birth times that other machines compare.
  virtual int64_t wallMicroseconds() const = 0;
};

/// The machine's clocks.
class SystemClock : public Clock {
 public:
  /// Counts the time for which the machine was suspended, which the steady clock leaves out: a
  /// proof, a lease or a bound ages meanwhile as it does everywhere else.
  Time now() const override {
    timespec instant{};
    clock_gettime(CLOCK_BOOTTIME, &instant);
    return Time(duration_cast<Duration>(std::chrono::seconds(instant.tv_sec) +
                                        std::chrono::nanoseconds(instant.tv_nsec)));
  }
  int64_t wallMicroseconds() const override {
    return duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count();
  }
};

}  // namespace fernmoor
