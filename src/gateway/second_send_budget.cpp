#include "gateway/second_send_budget.h"

#include "common/log.h"

namespace fernmoor::gateway {

namespace {

/// Minimum time between two log lines on the budget of one service (1 s).
constexpr Duration kLogInterval{1000000};

}  // namespace

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

double SecondSendBudget::left(Window& window, Time now) const {
  dropExpired(window.requests, now);
  dropExpired(window.secondSends, now);
  return bounds_.ratio * static_cast<double>(window.requests.size()) + bounds_.allowance -
         static_cast<double>(window.secondSends.size());
}

bool SecondSendBudget::trySecondSend(const std::string& pool, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Window& window = windows_[pool];
  const bool isAllowed = left(window, now) >= 1;
  if (isAllowed) {
    window.secondSends.push_back(now);
    ++window.granted;
  } else {
    ++window.refused;
  }
  logUse(pool, window, now);
  return isAllowed;
}

void SecondSendBudget::logUse(const std::string& pool, Window& window, Time now) const {
  if (now - window.loggedAt < kLogInterval) {
    return;
  }
  LogFields fields;
  fields.service = ServiceId(pool);
  logInfo("retry budget: " + std::to_string(window.granted - window.loggedGranted) +
              " retries granted and " + std::to_string(window.refused - window.loggedRefused) +
              " refused since the last line, " + std::to_string(window.granted) + " and " +
              std::to_string(window.refused) + " since the start, " +
              std::to_string(window.requests.size()) + " requests in the window",
          fields);
  window.loggedGranted = window.granted;
  window.loggedRefused = window.refused;
  window.loggedAt = now;
}

std::vector<RetryBudgetState> SecondSendBudget::states(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<RetryBudgetState> states;
  states.reserve(windows_.size());
  for (auto& [pool, window] : windows_) {
    states.push_back(RetryBudgetState{pool, left(window, now), window.granted, window.refused});
  }
  return states;
}

}  // namespace fernmoor::gateway
