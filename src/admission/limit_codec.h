/// @file
/// Messages of the limit role as they cross the network.
#pragma once

#include "admission/limit_owner.h"
#include "limit.pb.h"

namespace fernmoor {

void encodeDemand(const LimitDemand& demand, proto::LimitDemand& message);
/// Takes numbers only within sensible bounds; what is not a number counts as 0.
LimitDemand decodeDemand(const proto::LimitDemand& message);
void encodeGrant(const LimitGrant& grant, proto::LimitGrant& message);
LimitGrant decodeGrant(const proto::LimitGrant& message);

}  // namespace fernmoor
