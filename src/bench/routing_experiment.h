/// @file
/// Routing under virtual time: hollow routers that run the daemon's policies against emulated
/// engines, with a workload's requests. A run is a function of its options alone.
#pragma once

#include <string>

#include "bench/engine_fleet.h"
#include "bench/experiment_report.h"
#include "bench/workload_file.h"
#include "common/error.h"
#include "common/knobs.h"

namespace fernmoor::bench {

struct ExperimentOptions {
  std::string policy;
  uint64_t seed = 1;
  Duration length{60000000};  ///< Of the arrivals, the warm-up included.
  Duration warmUp{10000000};  ///< Requests that arrive earlier are served and not counted.
  double loadFactor = 1;
  StalenessOptions staleness;
  bool admission = true;   ///< Requests pass the admission controller of their router.
  Duration crashEvery{0};  ///< Mean time between crashes of any engine; 0: none.
  Knobs knobs;
};

/// Runs one experiment.
/// @return an error of kind kInvalidRequest for an unknown policy.
Result<ExperimentReport> runRoutingExperiment(const WorkloadSpec& spec,
                                              const ExperimentOptions& options);

}  // namespace fernmoor::bench
