#include "gateway/retry_budgets.h"

#include <algorithm>

#include "common/log.h"

namespace fernmoor::gateway {

namespace {

/// Part of the bound that is used. The rest covers retries that arrive later than they were
/// charged.
constexpr double kUsedShare = 0.9;
/// Lower bound on the number of nodes that share the slack: nodes that do not know each other yet
/// must not each save all of it.
constexpr size_t kMinAssumedNodes = 8;
/// Minimum time between two log lines on the budget of one service (1 s).
constexpr Duration kLogInterval{1000000};

}  // namespace

RetryBudgetOptions budgetOfNode(const RetryBounds& bounds, const KnownNodes& known) {
  RetryBudgetOptions options = splitRatio(bounds.ratio * kUsedShare);
  options.window = bounds.window;
  const auto nodes = static_cast<double>(std::max(kMinAssumedNodes, known.count));
  const double share = bounds.slack * known.part() / nodes;
  // With less than one token, a node with light traffic could never retry.
  options.savedAlways = std::max(share * kUsedShare, std::min(share, 1.0));
  return options;
}

RetryBudgets::ServiceBudget& RetryBudgets::budgetOf(const std::string& service) {
  const KnownNodes known = knownNodes_();
  const RetryBudgetOptions options = budgetOfNode(bounds_, known);
  ServiceBudget& use = budgets_.try_emplace(service, options).first->second;
  use.known = known;
  use.budget.setSavedAlways(options.savedAlways);
  return use;
}

void RetryBudgets::countRequest(const std::string& service, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ServiceBudget& use = budgetOf(service);
  use.budget.countRequest(now);
  ++use.counts.requests;
}

bool RetryBudgets::tryRetry(const std::string& service, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ServiceBudget& use = budgetOf(service);
  const bool isAllowed = use.budget.tryRetry(now);
  ++(isAllowed ? use.counts.granted : use.counts.refused);
  logUse(service, use, now);
  return isAllowed;
}

void RetryBudgets::logUse(const std::string& service, ServiceBudget& use, Time now) {
  if (now - use.loggedAt < kLogInterval) {
    return;
  }
  const Counts& counts = use.counts;
  LogFields fields;
  fields.service = ServiceId(service);
  logInfo("retry budget: " + std::to_string(counts.granted - use.logged.granted) +
              " retries granted and " + std::to_string(counts.refused - use.logged.refused) +
              " refused for " + std::to_string(counts.requests - use.logged.requests) +
              " requests since the last line; " + std::to_string(counts.granted) + ", " +
              std::to_string(counts.refused) + " and " + std::to_string(counts.requests) +
              " since the start; " + std::to_string(use.known.count) + " nodes and " +
              std::to_string(use.known.knownSeeds) + " of " + std::to_string(use.known.seeds) +
              " seeds are known",
          fields);
  use.logged = counts;
  use.loggedAt = now;
}

std::vector<RetryBudgetState> RetryBudgets::states(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<RetryBudgetState> states;
  states.reserve(budgets_.size());
  for (auto& [service, use] : budgets_) {
    states.push_back(RetryBudgetState{service, use.budget.tokensAt(now), use.counts.granted,
                                      use.counts.refused});
  }
  return states;
}

}  // namespace fernmoor::gateway
