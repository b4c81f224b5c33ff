/// @file
/// Encodes the demands of requests in messages to the owners of engines.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "gateway/engine_loads.h"
#include "load.pb.h"

namespace fernmoor::peers {

inline uint32_t clampToUint32(uint64_t tokens) {
  return static_cast<uint32_t>(std::min<uint64_t>(tokens, std::numeric_limits<uint32_t>::max()));
}

/// Sets all fields of a question but its bound and its statement.
void encodeDemand(uint32_t id, uint64_t engine, const gateway::EngineDemand& demand,
                  const gateway::EngineRoom& room, proto::LoadQuestion& question);
gateway::EngineDemand decodeDemand(const proto::LoadQuestion& question);

}  // namespace fernmoor::peers
