/// @file
/// Backpressure: computes from the engines' load how many more requests a pool can take.
#pragma once

#include <cstdint>
#include <vector>

#include "common/knobs.h"
#include "routing/routing_policy.h"

namespace fernmoor {

/// @param candidates engines of the pool that accept new requests.
/// @param nodes routers that send to these engines. All of them see the same free slots, so each
/// uses an equal part.
/// @return this node's part of the free slots, rounded up: batch slots plus a bounded queue at each
/// engine, less the requests already there; never negative.
int64_t freePlaces(const std::vector<EngineCandidate>& candidates, int64_t nodes, Time now,
                   const Knobs& knobs);

}  // namespace fernmoor
