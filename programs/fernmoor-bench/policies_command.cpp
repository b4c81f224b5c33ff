/// @file
/// `fernmoor-bench policies [NAME...]`: policies side by side on the same workload and seeds.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <optional>
#include <thread>

#include "bench/policy_table.h"
#include "bench/routing_experiment.h"
#include "commands.h"
#include "experiment_flags.h"
#include "flags.h"
#include "routing/routing_policy.h"

namespace fernmoor::bench {

namespace {

/// Runs all experiments, a few at the same time.
std::vector<std::optional<Result<ExperimentReport>>> runAll(
    const WorkloadSpec& workload, const std::vector<ExperimentOptions>& experiments) {
  std::vector<std::optional<Result<ExperimentReport>>> results(experiments.size());
  std::atomic<size_t> next{0};
  const auto work = [&] {
    for (size_t index = next++; index < experiments.size(); index = next++) {
      results[index] = runRoutingExperiment(workload, experiments[index]);
    }
  };
  std::vector<std::thread> threads;
  const int count = std::clamp(FLAGS_threads, 1, kMaxThreads);
  threads.reserve(static_cast<size_t>(count));
  for (int index = 0; index < count; ++index) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return results;
}

std::vector<ExperimentOptions> experimentsFor(const Arguments& policies,
                                              const ExperimentOptions& options) {
  std::vector<ExperimentOptions> experiments;
  for (const std::string& policy : policies) {
    for (int index = 0; index < FLAGS_seeds; ++index) {
      experiments.push_back(options);
      experiments.back().policy = policy;
      experiments.back().seed = options.seed + static_cast<uint64_t>(index);
    }
  }
  return experiments;
}

}  // namespace

int runPoliciesCommand(const Arguments& arguments) {
  const Result<ExperimentOptions> options = experimentOptionsFromFlags();
  if (!isOk(options)) {
    return printError(errorOf(options));
  }
  const Result<WorkloadSpec> workload = loadWorkload(FLAGS_workload);
  if (!isOk(workload)) {
    return printError(errorOf(workload));
  }
  const Arguments policies = arguments.empty() ? routingPolicyNames() : arguments;
  std::vector<ExperimentReport> reports;
  for (const auto& result : runAll(valueOf(workload), experimentsFor(policies, valueOf(options)))) {
    if (!isOk(*result)) {
      return printError(errorOf(*result));
    }
    reports.push_back(valueOf(*result));
  }
  std::printf("%s", policyTable(reports).c_str());
  return kExitDone;
}

}  // namespace fernmoor::bench
