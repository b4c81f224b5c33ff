/// @file
/// Commands about nodes, engines and requests.
#pragma once

#include "operator_client/command.h"

namespace fernmoor {

/// `nodes`: members as the asked node sees them.
ExitCode showNodes(CommandContext& context, const CommandWords& words);
/// `engines`: engines with load and the state of their cache views.
ExitCode showEngines(CommandContext& context, const CommandWords& words);
/// `drain NODE|ENGINE`: a number names a node, which is told itself; anything else names an engine,
/// of which every live node is told.
ExitCode drain(CommandContext& context, const CommandWords& words);
/// `explain REQUEST_ID`: what became of a request and why.
ExitCode explainRequest(CommandContext& context, const CommandWords& words);
/// `top`: rates of each class of requests over the last interval.
ExitCode showTop(CommandContext& context, const CommandWords& words);
/// `version`: of this program and of the node.
ExitCode showVersion(CommandContext& context, const CommandWords& words);

}  // namespace fernmoor
