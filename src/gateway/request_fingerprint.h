/// @file
/// What makes two requests the same one, coming again: tenant, method, host, path and body. Ids,
/// deadlines and connections differ between the tries of one request.
#pragma once

#include <cstdint>

#include "gateway/incoming_request.h"

namespace fernmoor::gateway {

/// @return the same on every node; never 0. Two different requests share one by a chance of 2^-64;
///         the tenant seeds the hash of all else, so that no tenant can aim at requests of another.
uint64_t fingerprintOf(const IncomingRequest& request);

}  // namespace fernmoor::gateway
