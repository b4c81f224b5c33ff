/// @file
/// `fernmoor-bench spread`: how long table changes and membership take at the target's size.
#include <cstdio>

#include "bench/spread_scenarios.h"
#include "commands.h"
#include "flags.h"

DEFINE_int32(nodes, 380, "Hollow nodes of `spread`.");
DEFINE_int32(zones, 7, "Zones of `spread`.");
DEFINE_int32(rows, 1000, "Rows of the table of `spread`.");

namespace fernmoor::bench {

int runSpreadCommand(const Arguments& arguments) {
  if (!arguments.empty() || FLAGS_nodes < 2 || FLAGS_zones < 1 || FLAGS_rows < 1) {
    std::fprintf(stderr, "fernmoor-bench spread takes --nodes >= 2, --zones >= 1, --rows >= 1.\n");
    return kExitUsage;
  }
  SpreadOptions options;
  options.nodes = static_cast<uint32_t>(FLAGS_nodes);
  options.zones = static_cast<uint32_t>(FLAGS_zones);
  options.rows = static_cast<size_t>(FLAGS_rows);
  options.replaced = options.nodes * 75 / 380;
  options.seed = FLAGS_seed;
  std::vector<SpreadTimes> times = measureTableScenarios(options);
  for (const SpreadTimes& one : measureMembershipScenarios(options)) {
    times.push_back(one);
  }
  std::printf("%d nodes in %d zones, %d rows, seed %lu\n\n%s", FLAGS_nodes, FLAGS_zones, FLAGS_rows,
              static_cast<unsigned long>(FLAGS_seed), toMarkdown(times).c_str());
  return kExitDone;
}

}  // namespace fernmoor::bench
