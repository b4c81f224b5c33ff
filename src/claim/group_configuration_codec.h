/// @file
/// Group configurations as the platform keeps them: one JSON object.
#pragma once

#include <string>

#include "claim/replica_group.h"
#include "common/error.h"

namespace fernmoor {

std::string groupConfigurationToJson(const GroupConfiguration& configuration);
/// @return kInvalidRequest where the text is no group configuration.
Result<GroupConfiguration> groupConfigurationFromJson(const std::string& text);

}  // namespace fernmoor
