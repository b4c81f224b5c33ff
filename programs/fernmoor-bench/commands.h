/// @file
/// The subcommands of fernmoor-bench, one file each. Each returns the program's exit code: 0 where
/// it ran, 1 where a run failed, 2 where it was called wrongly.
#pragma once

#include <string>
#include <vector>

namespace fernmoor::bench {

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

/// @param arguments what stands after the subcommand and is no flag.
using Arguments = std::vector<std::string>;

int runRoutingCommand(const Arguments& arguments);
int runPoliciesCommand(const Arguments& arguments);
int runCompareCommand(const Arguments& arguments);
int runSpreadCommand(const Arguments& arguments);
int runHttpCommand(const Arguments& arguments);
int runSlopesCommand(const Arguments& arguments);
int runTableCommand(const Arguments& arguments);

}  // namespace fernmoor::bench
