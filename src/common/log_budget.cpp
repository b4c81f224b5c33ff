#include "common/log_budget.h"

#include <algorithm>

namespace fernmoor {

std::optional<uint64_t> LogBudget::take(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const double gained = toSeconds(std::max(Duration(0), now - countedAt_)) * bounds_.linesPerSecond;
  lines_ = std::min(bounds_.burst, lines_ + gained);
  countedAt_ = std::max(countedAt_, now);
  if (lines_ < 1) {
    ++leftOut_;
    return std::nullopt;
  }
  lines_ -= 1;
  const uint64_t told = leftOut_;
  leftOut_ = 0;
  return told;
}

}  // namespace fernmoor
