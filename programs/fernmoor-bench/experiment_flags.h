/// @file
/// Experiment options from the flags.
#pragma once

#include "bench/routing_experiment.h"

namespace fernmoor::bench {

/// @return the options that the flags give, or an error that names the flag and the remedy.
Result<ExperimentOptions> experimentOptionsFromFlags();

/// Prints an error to the standard error stream.
/// @return kExitFailed.
int printError(const Error& error);

/// Writes a whole file.
Result<Done> writeFile(const std::string& path, const std::string& text);
/// Reads a whole file.
Result<std::string> readFile(const std::string& path);

}  // namespace fernmoor::bench
