#include "gateway/second_send_budget.h"

namespace fernmoor::gateway {

void SecondSendBudget::dropExpired(std::deque<Time>& times, Time now) const {
  while (!times.empty() && now - times.front() > bounds_.window) {
    times.pop_front();
  }
}

void SecondSendBudget::setAllowance(double allowance) {
  const std::lock_guard<std::mutex> lock(mutex_);
  bounds_.allowance = allowance;
}

void SecondSendBudget::countRequest(const std::string& pool, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Window& window = windows_[pool];
  dropExpired(window.requests, now);
  window.requests.push_back(now);
}

bool SecondSendBudget::trySecondSend(const std::string& pool, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Window& window = windows_[pool];
  dropExpired(window.requests, now);
  dropExpired(window.secondSends, now);
  const double allowed =
      bounds_.ratio * static_cast<double>(window.requests.size()) + bounds_.allowance;
  if (static_cast<double>(window.secondSends.size()) + 1 > allowed) {
    return false;
  }
  window.secondSends.push_back(now);
  return true;
}

}  // namespace fernmoor::gateway
