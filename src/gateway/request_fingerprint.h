/// @file
/// Fingerprint that recognizes retries of one request by its tenant, method, host, path and body.
/// Ids, deadlines and connections differ between retries and are left out.
#pragma once

#include <cstdint>

#include "gateway/incoming_request.h"
#include "gateway/request_quarantine.h"

namespace fernmoor::gateway {

/// @return a value that is equal on all nodes and never 0. Two different requests collide with a
///         probability of 2^-64. The tenant seeds the hash of all other fields, so that no tenant
///         can craft a collision with requests of another.
uint64_t fingerprintOf(const IncomingRequest& request);

/// @return the fingerprints of the request and of its shared parts. A part's fingerprint is that of
///         its id alone: whoever sends it, it is the same text.
Suspects suspectsOf(const IncomingRequest& request);

}  // namespace fernmoor::gateway
