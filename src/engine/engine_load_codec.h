/// @file
/// Engine loads as they cross the network: small numbers, and an age instead of an instant.
#pragma once

#include "engine/engine_state.h"
#include "probe.pb.h"

namespace fernmoor {

/// Fills in the parts that change all the time.
void encodeLoad(const EngineLoad& load, Time now, proto::EngineLoadSummary& summary);
/// Sets the parts that change all the time; the others are left as they are.
void decodeLoad(const proto::EngineLoadSummary& summary, Time now, EngineLoad& load);

/// Fills in the parts that seldom change.
void encodeProfile(const EngineState& state, proto::EngineProfile& profile);
void decodeProfile(const proto::EngineProfile& profile, EngineState& state);

/// @return a digest by which a load names the profile that it belongs to.
uint32_t profileDigest(const EngineState& state);

}  // namespace fernmoor
