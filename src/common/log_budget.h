/// @file
/// Bounds how many log lines of one kind are written, so that a flood of failures costs a known
/// amount of processor time and never hides other kinds. What is left out is counted and told with
/// the next line that is written.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "common/time.h"

namespace fernmoor {

struct LogBudgetBounds {
  double linesPerSecond = 5;
  double burst = 20;  ///< Lines that may be written at once.
};

/// Thread-safe.
class LogBudget {
 public:
  explicit LogBudget(LogBudgetBounds bounds) : bounds_(bounds), lines_(bounds.burst) {}

  /// Asks to write one line.
  /// @return nothing where the line must be left out; else how many were left out before it.
  std::optional<uint64_t> take(Time now);

 private:
  const LogBudgetBounds bounds_;
  std::mutex mutex_;
  double lines_;  ///< Lines that may be written now.
  Time countedAt_;
  uint64_t leftOut_ = 0;
};

}  // namespace fernmoor
