/// @file
/// Retry budget that needs no coordination between nodes: in each sliding window a node retries at
/// most a fixed share of its own requests for the pool, plus a small allowance. The sum over all
/// nodes then stays within the bound that the operator sets for the whole deployment.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "common/time.h"

namespace fernmoor::gateway {

/// Bound for the deployment, with this node's share of the allowance.
struct SecondSendBounds {
  double ratio = 0.1;         ///< Retries per request.
  Duration window{10000000};  ///< Length of the sliding window (10 s).
  double allowance = 1.0;     ///< Retries allowed to this node beyond the ratio.
};

/// The budget of one service at this node, for metrics.
struct RetryBudgetState {
  std::string service;
  double left = 0;       ///< Retries that are allowed now.
  uint64_t granted = 0;  ///< Retries since the program started.
  uint64_t refused = 0;  ///< Retries that were not allowed, since the program started.
};

/// Thread-safe.
class SecondSendBudget {
 public:
  explicit SecondSendBudget(SecondSendBounds bounds) : bounds_(bounds) {}

  /// Updates this node's part of the allowance, e.g. when the number of nodes changes.
  void setAllowance(double allowance);
  /// Counts a request's first send to the pool.
  void countRequest(const std::string& pool, Time now);
  /// Counts a retry if the budget allows it. While retries are asked for, logs one line a second.
  /// @return whether it does.
  bool trySecondSend(const std::string& pool, Time now);
  /// @return the budgets of all services that got requests.
  std::vector<RetryBudgetState> states(Time now);

 private:
  struct Window {
    std::deque<Time> requests;
    std::deque<Time> secondSends;
    uint64_t granted = 0;
    uint64_t refused = 0;
    uint64_t loggedGranted = 0;  ///< Granted and refused when the latest line was logged.
    uint64_t loggedRefused = 0;
    Time loggedAt;
  };
  void dropExpired(std::deque<Time>& times, Time now) const;
  /// @return the retries allowed now.
  double left(Window& window, Time now) const;
  void logUse(const std::string& pool, Window& window, Time now) const;

  SecondSendBounds bounds_;
  std::mutex mutex_;
  std::map<std::string, Window> windows_;
};

}  // namespace fernmoor::gateway
