/// @file
/// Wire encoding of engine loads: small integers, and an age instead of a timestamp.
#pragma once

#include "engine/engine_state.h"
#include "probe.pb.h"

namespace fernmoor {

/// Encodes the fields that change constantly.
void encodeLoad(const EngineLoad& load, Time now, proto::EngineLoadSummary& summary);
/// Decodes the fields that change constantly; the others are left unchanged.
void decodeLoad(const proto::EngineLoadSummary& summary, Time now, EngineLoad& load);

/// Encodes the fields that seldom change.
void encodeProfile(const EngineState& state, proto::EngineProfile& profile);
void decodeProfile(const proto::EngineProfile& profile, EngineState& state);

/// @return a digest by which a load refers to its profile.
uint32_t profileDigest(const EngineState& state);

}  // namespace fernmoor
