/// @file
/// Seeded random numbers (PCG). One generator per owner; not thread-safe.
#pragma once

#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>
#include <random>

#include "common/time.h"

namespace fernmoor {

class Random {
 public:
  /// @param seed the same seed gives the same sequence on every machine.
  explicit Random(uint64_t seed) : engine_(seed) {}

  /// @return a number in [0, bound); bound must be greater than 0.
  uint64_t below(uint64_t bound) { return engine_(bound); }
  /// @return a number in [0, 1).
  double unit() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }
  /// @return true with the given probability.
  bool chance(double probability) { return unit() < probability; }
  /// @return a length of time in [low, high].
  Duration between(Duration low, Duration high) {
    return low +
           Duration(static_cast<int64_t>(below(static_cast<uint64_t>((high - low).count()) + 1)));
  }
  /// @return an exponentially distributed number with the given mean.
  double exponential(double mean) { return -mean * std::log(1.0 - unit()); }
  uint64_t next() { return engine_(); }

 private:
  pcg64 engine_;
};

}  // namespace fernmoor
