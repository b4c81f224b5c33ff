/// @file
/// Encodes what engines state about themselves for messages between nodes. Times are encoded as
/// ages, because the clocks of nodes differ.
#pragma once

#include "gateway/stated_limits.h"
#include "load.pb.h"

namespace fernmoor::peers {

/// @param now time at which the message is sent.
void encodeStatement(const gateway::EngineStatement& statement, Time now,
                     proto::EngineStatement& message);

/// Decodes a message of another node. A rate that is negative or not finite is ignored.
/// @param now time at which the message was received.
gateway::EngineStatement decodeStatement(const proto::EngineStatement& message, Time now);

}  // namespace fernmoor::peers
