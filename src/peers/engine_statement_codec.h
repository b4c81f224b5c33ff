/// @file
/// What engines state, as nodes tell it to each other: by ages, as clocks differ.
#pragma once

#include "gateway/stated_limits.h"
#include "load.pb.h"

namespace fernmoor::peers {

/// @param now when the message is sent.
void encodeStatement(const gateway::EngineStatement& told, Time now,
                     proto::EngineStatement& message);

/// Reads a message of another node. A rate that is no finite number of 0 or more counts as none.
/// @param now when it came.
gateway::EngineStatement decodeStatement(const proto::EngineStatement& message, Time now);

}  // namespace fernmoor::peers
