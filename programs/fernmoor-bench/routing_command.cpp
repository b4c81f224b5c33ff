/// @file
/// `fernmoor-bench routing`: one policy on one workload under virtual time.
#include <cstdio>

#include "bench/routing_experiment.h"
#include "commands.h"
#include "experiment_flags.h"
#include "flags.h"

namespace fernmoor::bench {

int runRoutingCommand(const Arguments& arguments) {
  if (!arguments.empty()) {
    std::fprintf(stderr, "fernmoor-bench routing takes flags only; see --help.\n");
    return kExitUsage;
  }
  const Result<ExperimentOptions> options = experimentOptionsFromFlags();
  if (!isOk(options)) {
    return printError(errorOf(options));
  }
  const Result<WorkloadSpec> workload = loadWorkload(FLAGS_workload);
  if (!isOk(workload)) {
    return printError(errorOf(workload));
  }
  const Result<ExperimentReport> report = runRoutingExperiment(valueOf(workload), valueOf(options));
  if (!isOk(report)) {
    return printError(errorOf(report));
  }
  std::printf("%s", toText(valueOf(report)).c_str());
  if (FLAGS_json.empty()) {
    return kExitDone;
  }
  const Result<Done> written = writeFile(FLAGS_json, toJson(valueOf(report)));
  return isOk(written) ? kExitDone : printError(errorOf(written));
}

}  // namespace fernmoor::bench
