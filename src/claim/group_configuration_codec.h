/// @file
/// Conversion of group configurations to and from the JSON object that the platform stores.
#pragma once

#include <string>

#include "claim/replica_group.h"
#include "common/error.h"

namespace fernmoor {

std::string groupConfigurationToJson(const GroupConfiguration& configuration);
/// @return kInvalidRequest if the text is not a group configuration.
Result<GroupConfiguration> groupConfigurationFromJson(const std::string& text);

}  // namespace fernmoor
