/// @file
/// Policies side by side: means over the seeds of the same workload.
#pragma once

#include <string>
#include <vector>

#include "bench/experiment_report.h"

namespace fernmoor::bench {

/// @param reports of one workload, the runs of one policy next to each other.
/// @return a Markdown table: over all model classes, then for each class.
std::string policyTable(const std::vector<ExperimentReport>& reports);

}  // namespace fernmoor::bench
