/// @file
/// Retry budgets of the services at this node. Each node retries at most its part of what the
/// operator allows all nodes together, without asking the others.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "admission/retry_budget.h"
#include "common/time.h"

namespace fernmoor::gateway {

/// Bound on the retries of all nodes together, for each service.
struct RetryBounds {
  double ratio = 0.1;         ///< Retries per request.
  Duration window{10000000};  ///< The bound holds in every interval of this length (10 s).
  double slack = 0;           ///< Retries per window beside the ratio.
};

/// What a node knows of the nodes that share a bound.
struct KnownNodes {
  size_t count = 1;       ///< Including this one and those that vanished lately.
  size_t seeds = 0;       ///< Nodes that this one was told to join; 0: no part is missing.
  size_t knownSeeds = 0;  ///< Seeds among the known nodes.

  /// @return the part of a bound that the known nodes may use together. In a network partition each
  ///         seed is known on one side only, so that the parts of all sides add up to 1.
  double part() const {
    return seeds == 0 ? 1 : static_cast<double>(knownSeeds) / static_cast<double>(seeds);
  }
};

/// @return the budget of one node.
RetryBudgetOptions budgetOfNode(const RetryBounds& bounds, const KnownNodes& known);

/// The budget of one service at this node, for metrics.
struct RetryBudgetState {
  std::string service;
  double left = 0;       ///< Retries that are allowed now.
  uint64_t granted = 0;  ///< Retries since the program started.
  uint64_t refused = 0;  ///< Retries that were not allowed, since the program started.
};

/// Thread-safe.
class RetryBudgets {
 public:
  /// @param knownNodes returns what is known of the nodes that share the bounds; called on the
  ///        threads of the other methods.
  RetryBudgets(RetryBounds bounds, std::function<KnownNodes()> knownNodes)
      : bounds_(bounds), knownNodes_(std::move(knownNodes)) {}

  /// Counts a request's first attempt at the service.
  void countRequest(const std::string& service, Time now);
  /// Counts a retry if the budget allows it. While retries are asked for, logs one line a second.
  /// @return whether it does.
  bool tryRetry(const std::string& service, Time now);
  /// @return the budgets of all services that got requests.
  std::vector<RetryBudgetState> states(Time now);

 private:
  struct Counts {
    uint64_t requests = 0;
    uint64_t granted = 0;
    uint64_t refused = 0;
  };
  struct ServiceBudget {
    explicit ServiceBudget(const RetryBudgetOptions& options) : budget(options) {}
    RetryBudget budget;
    KnownNodes known;  ///< By which the slack was divided last.
    Counts counts;     ///< Since the program started.
    Counts logged;     ///< `counts` when the latest line was logged.
    Time loggedAt;
  };

  /// @return the service's budget, with this node's current part of the slack.
  ServiceBudget& budgetOf(const std::string& service);
  static void logUse(const std::string& service, ServiceBudget& use, Time now);

  const RetryBounds bounds_;
  const std::function<KnownNodes()> knownNodes_;
  std::mutex mutex_;
  std::map<std::string, ServiceBudget> budgets_;
};

}  // namespace fernmoor::gateway
