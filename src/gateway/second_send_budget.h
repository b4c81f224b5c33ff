/// @file
/// Bound on second sends, kept without asking other nodes: in each sliding window a node sends
/// again at most a share of its own requests for the pool, and a small allowance beside. The sums
/// of all nodes then keep the bound that the operator sets for the whole deployment.
#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "common/time.h"

namespace fernmoor::gateway {

/// The deployment's bound.
struct SecondSendBounds {
  double ratio = 0.1;         ///< Second sends per request.
  Duration window{10000000};  ///< Length of the sliding window.
  double allowance = 1.0;     ///< This node's part of what is allowed beside the ratio.
};

/// Thread-safe.
class SecondSendBudget {
 public:
  explicit SecondSendBudget(SecondSendBounds bounds) : bounds_(bounds) {}

  /// Sets this node's part of the allowance anew, e.g. as the number of nodes changes.
  void setAllowance(double allowance);
  /// Counts a request's first send to the pool.
  void countRequest(const std::string& pool, Time now);
  /// @return whether a second send fits; it is then counted.
  bool trySecondSend(const std::string& pool, Time now);

 private:
  struct Window {
    std::deque<Time> requests;
    std::deque<Time> secondSends;
  };
  void forget(std::deque<Time>& times, Time now) const;

  SecondSendBounds bounds_;
  std::mutex mutex_;
  std::map<std::string, Window> windows_;
};

}  // namespace fernmoor::gateway
