/// @file
/// Conversion of the limit role's messages to and from protobuf.
#pragma once

#include "admission/limit_owner.h"
#include "limit.pb.h"

namespace fernmoor {

void encodeDemand(const LimitDemand& demand, proto::LimitDemand& message);
/// Clamps numbers to safe bounds; a NaN or infinite value becomes 0.
LimitDemand decodeDemand(const proto::LimitDemand& message);
void encodeGrant(const LimitGrant& grant, proto::LimitGrant& message);
LimitGrant decodeGrant(const proto::LimitGrant& message);

}  // namespace fernmoor
