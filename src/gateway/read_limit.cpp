#include "gateway/read_limit.h"

namespace fernmoor::gateway {

void ReadLimit::endIntervals(Time now) {
  const int64_t passed = (now - intervalStart_) / bounds_.interval;
  if (passed <= 0) {
    return;
  }
  const double requests = requests_;
  // A later request ends the interval. If it comes more than an interval later, the requests
  // before it were a burst.
  if (passed == 1 && requests_ >= bounds_.minRequests && slow_ >= bounds_.beginShare * requests) {
    isLimiting_ = true;
  }
  const bool isCalm = requests_ == 0 || overdue_ < bounds_.endShare * requests;
  calmIntervals_ = isCalm ? calmIntervals_ + passed : passed - 1;
  if (calmIntervals_ >= bounds_.calmIntervals) {
    isLimiting_ = false;
  }
  intervalStart_ += passed * bounds_.interval;
  requests_ = 0;
  slow_ = 0;
  overdue_ = 0;
}

bool ReadLimit::note(Duration waited, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool wasLimiting = isLimiting_;
  endIntervals(now);
  ++requests_;
  slow_ += waited >= bounds_.beginAfter ? 1 : 0;
  overdue_ += waited >= bounds_.closeAfter ? 1 : 0;
  return isLimiting_ != wasLimiting;
}

bool ReadLimit::mustClose(Duration waited, int inProgress) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return isLimiting_ && waited >= bounds_.closeAfter && inProgress >= bounds_.minInProgress;
}

bool ReadLimit::isLimiting() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return isLimiting_;
}

}  // namespace fernmoor::gateway
