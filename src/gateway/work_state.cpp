#include "gateway/work_state.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// Time after SIGTERM by which the load balancer has removed this node: it does so after two failed
/// readiness checks, one second apart.
constexpr Duration kDeregistrationTime{3200000};
/// Requests that arrive later than this after SIGTERM are rejected, so that all others can finish
/// before SIGKILL.
constexpr Duration kAcceptRequestsTime{2850000};
/// Percentage of a short grace period in which requests are accepted.
constexpr int kAcceptRequestsPercent = 36;
/// A stopping process aborts the remaining requests this long before the grace period ends.
constexpr Duration kExitMargin{250000};

}  // namespace

StopTimes stopTimesFor(Duration grace) {
  StopTimes times;
  times.leaveAfter = kDeregistrationTime;
  times.takeFor = std::min(kAcceptRequestsTime, grace * kAcceptRequestsPercent / 100);
  times.endBy = std::max(Duration(0), grace - kExitMargin);
  return times;
}

void WorkState::stop(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!stopping_) {
    stoppedAt_ = now;
    stopping_ = true;
  }
}

bool WorkState::takesWork(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return !stopping_ || now < stoppedAt_ + times_.takeFor;
}

bool WorkState::mayEnd(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!stopping_) {
    return false;
  }
  const bool idle = active_ == 0 && now >= stoppedAt_ + times_.leaveAfter;
  return idle || now >= stoppedAt_ + times_.endBy;
}

bool WorkState::isTimeOver(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stopping_ && now >= stoppedAt_ + times_.endBy;
}

}  // namespace fernmoor::gateway
