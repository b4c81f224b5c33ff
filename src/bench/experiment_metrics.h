/// @file
/// Collects what happened to the requests of an experiment, for each class and tenant.
#pragma once

#include <string>
#include <vector>

#include "bench/experiment_report.h"
#include "bench/statistics.h"
#include "bench/workload.h"

namespace fernmoor::bench {

/// Collects the outcomes of one group of requests: a class, a tenant, or all. Plain data.
struct GroupMetrics {
  std::string name;
  int64_t offered = 0;
  int64_t completed = 0;
  int64_t inTime = 0;  ///< Completed before their deadline.
  int64_t retries = 0;
  int64_t promptTokens = 0;
  int64_t cachedTokens = 0;  ///< Found in the chosen engine's cache.
  int64_t oracleTokens = 0;  ///< Held by some engine when the request reached the chosen one.
  int64_t recomputedHeldTokens = 0;  ///< Held by some engine, yet recomputed.
  int64_t promptBlocks = 0;
  int64_t cachedBlocks = 0;
  Samples firstTokenMilliseconds;
  Samples betweenTokensMilliseconds;
  Samples queueMilliseconds;
  std::vector<RefusalCount> refusals;

  void countRefusal(ErrorKind kind);
};

/// @return the figures of what was collected.
GroupReport summarize(const GroupMetrics& metrics);

/// Counts each request's outcome for its class, its tenant and in total. Not thread-safe.
class MetricsBook {
 public:
  explicit MetricsBook(const WorkloadSpec& spec);

  /// Applies a change, a function of GroupMetrics&, to each group of the request.
  template <class Change>
  void update(const WorkloadRequest& request, Change change) {
    change(total_);
    change(classes_[request.classIndex]);
    change(tenants_[request.tenantIndex]);
  }

  /// Fills in the groups and the fairness among tenants.
  void fill(ExperimentReport& report) const;

 private:
  GroupMetrics total_;
  std::vector<GroupMetrics> classes_;
  std::vector<GroupMetrics> tenants_;
};

}  // namespace fernmoor::bench
