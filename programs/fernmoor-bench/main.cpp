/// @file
/// fernmoor-bench: load, experiments and reports.
#include <cstdio>
#include <string>
#include <vector>

#include "commands.h"
#include "flags.h"

DEFINE_string(workload, "examples/workloads/neerkaval.toml", "Workload file (TOML).");
DEFINE_string(policy, "least_expected_time", "Name of a routing policy.");
DEFINE_uint64(seed, 1, "Seed of the run; with --seeds, of the first run.");
DEFINE_int32(seeds, 3, "Runs for each policy, each with its own seed.");
DEFINE_double(staleness_ms, 500, "Delay of cache events and age of load reports.");
DEFINE_bool(perfect, false, "Read caches and load from the engines themselves (an oracle).");
DEFINE_double(seconds, 60, "Virtual length of the run, the warm-up included.");
DEFINE_double(warm_up_seconds, 10, "Requests that arrive earlier are served and not counted.");
DEFINE_double(load, 1, "Load factor: multiplies the rates of the workload file.");
DEFINE_double(gap_every_seconds, 20, "Mean time between gaps in one engine's events; 0: none.");
DEFINE_double(crash_every_seconds, 0, "Mean time between engine crashes; 0: none.");
DEFINE_bool(admission, true, "Requests pass the routers' admission.");
DEFINE_string(knobs, "",
              "Tunables to change, e.g. affinityPrefixBlocks=64,nonHomePenaltySeconds=0");
DEFINE_int32(threads, 4, "Runs at the same time, at most 4.");
DEFINE_string(json, "", "Write the report as JSON to this file.");
DEFINE_string(out, "report", "Folder for the files of a comparison.");

namespace {

using fernmoor::bench::Arguments;

struct Command {
  const char* name;
  int (*run)(const Arguments& arguments);
  const char* help;
};

constexpr Command kCommands[] = {
    {"routing", fernmoor::bench::runRoutingCommand, "one policy on one workload, virtual time"},
    {"policies", fernmoor::bench::runPoliciesCommand, "all policies, or those named, in a table"},
    {"compare", fernmoor::bench::runCompareCommand, "HTML page and plots of two or more reports"},
    {"spread", fernmoor::bench::runSpreadCommand, "table and membership at the target's size"},
    {"http", fernmoor::bench::runHttpCommand, "load over HTTP against running processes"},
    {"slopes", fernmoor::bench::runSlopesCommand, "costs by size, all parts or those named"},
    {"table", fernmoor::bench::runTableCommand,
     "cost of the table, and time until a change is in force"},
};

std::string usage() {
  std::string text =
      "fernmoor-bench COMMAND [FLAGS]: load, experiments and reports.\n\nCommands:\n";
  for (const Command& command : kCommands) {
    text += "  " + std::string(command.name) + ": " + command.help + "\n";
  }
  text +=
      "\nExamples:\n"
      "  fernmoor-bench routing --workload=examples/workloads/agency.toml "
      "--policy=least_loaded --seed=7\n"
      "  fernmoor-bench policies --seeds=3 --staleness_ms=2000\n"
      "  fernmoor-bench compare a.json b.json --out=report && (cd report && gnuplot plots.gp)\n"
      "\nExit codes: 0 done, 1 a run failed, 2 called wrongly.";
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(usage());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::string name = argc > 1 ? argv[1] : "";
  for (const Command& command : kCommands) {
    if (name == command.name) {
      return command.run(Arguments(argv + 2, argv + argc));
    }
  }
  std::fprintf(stderr, "%s\n", usage().c_str());
  return fernmoor::bench::kExitUsage;
}
