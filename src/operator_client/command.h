/// @file
/// What the commands of fernmoorctl share: where they write and how they end.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "operator_client/operator_connection.h"

namespace fernmoor {

/// What one run of the program works with.
struct CommandContext {
  const ClientOptions& options;
  OperatorConnection& connection;
  std::ostream& out;  ///< Results.
  std::ostream& err;  ///< Explanations of failures.

  bool wantsJson() const { return options.output == OutputFormat::kJson; }
};

/// Words of a command after its name.
using CommandWords = std::vector<std::string>;

/// Says that the command line is wrong. @return kUsage.
ExitCode usageError(CommandContext& context, const std::string& message);

/// Reports a failed call: a message to err, with JSON output also the node's error object to out.
/// @return the failure's exit code.
ExitCode reportFailure(CommandContext& context, const OperatorFailure& failure);

/// Writes the object as one line of JSON.
void printJson(CommandContext& context, const Poco::JSON::Object& object);

}  // namespace fernmoor
