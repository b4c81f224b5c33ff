#include "gateway/work_state.h"

namespace fernmoor::gateway {

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
