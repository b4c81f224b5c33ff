/// @file
/// The commands of fernmoorctl by name.
#pragma once

#include <ostream>
#include <string>

#include "operator_client/client_options.h"
#include "operator_client/command.h"

namespace fernmoor {

/// @return the help text: commands, flags, examples and exit codes.
std::string helpText();

/// Runs one command.
/// @param words the command line without flags, e.g. {"table", "get"}.
ExitCode runCommand(const ClientOptions& options, const CommandWords& words, std::ostream& out,
                    std::ostream& err);

}  // namespace fernmoor
