/// @file
/// Commands that read and edit the table.
#pragma once

#include "operator_client/command.h"

namespace fernmoor {

/// Runs `table get|set|delete|apply|diff|history ...`.
/// @param words what follows "table".
ExitCode runTableCommand(CommandContext& context, const CommandWords& words);

}  // namespace fernmoor
