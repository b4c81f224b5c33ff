#include "bench/policy_table.h"

#include <cstdio>
#include <functional>

namespace fernmoor::bench {

namespace {

/// The runs of one policy.
struct PolicyRuns {
  std::string policy;
  std::vector<const ExperimentReport*> runs;

  /// @return the mean of a figure over the runs.
  double mean(const std::function<double(const ExperimentReport&)>& figure) const {
    double sum = 0;
    for (const ExperimentReport* run : runs) {
      sum += figure(*run);
    }
    return sum / static_cast<double>(runs.size());
  }
};

std::vector<PolicyRuns> groupByPolicy(const std::vector<ExperimentReport>& reports) {
  std::vector<PolicyRuns> groups;
  for (const ExperimentReport& report : reports) {
    if (groups.empty() || groups.back().policy != report.policy) {
      groups.push_back(PolicyRuns{report.policy, {}});
    }
    groups.back().runs.push_back(&report);
  }
  return groups;
}

std::string format(const char* pattern, double value) {
  char text[64];
  std::snprintf(text, sizeof(text), pattern, value);
  return text;
}

double share(int64_t part, int64_t whole) {
  return whole > 0 ? 100 * static_cast<double>(part) / static_cast<double>(whole) : 0;
}

std::string totalsTable(const std::vector<PolicyRuns>& policies) {
  std::string table =
      "| policy | hit % (tokens) | hit % (blocks) | oracle % | recomputed though held (k tokens) | "
      "recomputed (k tokens) | in time % | refused | retries | fairness of tenants | "
      "us a choice |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const PolicyRuns& runs : policies) {
    const auto cell = [&](const char* pattern, auto figure) {
      return " " + format(pattern, runs.mean(figure)) + " |";
    };
    using Report = const ExperimentReport&;
    table += "| " + runs.policy + " |";
    table += cell("%.1f", [](Report run) { return 100 * run.total.tokenHitRate; });
    table += cell("%.1f", [](Report run) { return 100 * run.total.blockHitRate; });
    table += cell("%.1f", [](Report run) { return 100 * run.total.oracleHitRate; });
    table += cell("%.0f", [](Report run) {
      return static_cast<double>(run.total.recomputedHeldTokens) / 1000;
    });
    table += cell(
        "%.0f", [](Report run) { return static_cast<double>(run.total.recomputedTokens) / 1000; });
    table += cell("%.1f", [](Report run) { return share(run.total.inTime, run.total.offered); });
    table += cell("%.0f", [](Report run) {
      int64_t refused = 0;
      for (const RefusalCount& refusal : run.total.refusals) {
        refused += refusal.count;
      }
      return static_cast<double>(refused);
    });
    table += cell("%.0f", [](Report run) { return static_cast<double>(run.total.retries); });
    table += cell("%.4f", [](Report run) { return run.tenantFairness; });
    table += cell("%.1f", [](Report run) { return run.decisionMicroseconds; });
    table += "\n";
  }
  return table;
}

std::string classTable(const std::vector<PolicyRuns>& policies, size_t index) {
  std::string table =
      "\n" + policies.front().runs.front()->classes[index].name +
      "\n\n| policy | hit % | first token p50 ms | p95 | p99 | p99.9 | "
      "between tokens p50 ms | p99 | in time % |\n|---|---|---|---|---|---|---|---|---|\n";
  for (const PolicyRuns& runs : policies) {
    const auto cell = [&](const char* pattern, auto figure) {
      return " " + format(pattern, runs.mean([&](const ExperimentReport& run) {
               return figure(run.classes[index]);
             })) +
             " |";
    };
    using Group = const GroupReport&;
    table += "| " + runs.policy + " |";
    table += cell("%.1f", [](Group group) { return 100 * group.tokenHitRate; });
    table += cell("%.0f", [](Group group) { return group.firstToken.p50; });
    table += cell("%.0f", [](Group group) { return group.firstToken.p95; });
    table += cell("%.0f", [](Group group) { return group.firstToken.p99; });
    table += cell("%.0f", [](Group group) { return group.firstToken.p999; });
    table += cell("%.1f", [](Group group) { return group.betweenTokens.p50; });
    table += cell("%.1f", [](Group group) { return group.betweenTokens.p99; });
    table += cell("%.1f", [](Group group) { return share(group.inTime, group.offered); });
    table += "\n";
  }
  return table;
}

}  // namespace

std::string policyTable(const std::vector<ExperimentReport>& reports) {
  const std::vector<PolicyRuns> policies = groupByPolicy(reports);
  if (policies.empty()) {
    return "";
  }
  std::string text = totalsTable(policies);
  for (size_t index = 0; index < policies.front().runs.front()->classes.size(); ++index) {
    if (policies.front().runs.front()->classes[index].promptTokens > 0) {
      text += classTable(policies, index);
    }
  }
  return text;
}

}  // namespace fernmoor::bench
