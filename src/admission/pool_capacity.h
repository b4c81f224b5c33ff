/// @file
/// Back pressure: how many more requests a pool of engines can take, from the engines' load.
#pragma once

#include <cstdint>
#include <vector>

#include "common/knobs.h"
#include "routing/routing_policy.h"

namespace fernmoor {

/// @param candidates engines of the pool that may get new work.
/// @param nodes routers that send to them; each takes an equal part of what is free, since all see
/// the same free places.
/// @return places free for this node: slots of the batches and a bounded queue at each engine, less
/// the requests that are there; never negative.
int64_t freePlaces(const std::vector<EngineCandidate>& candidates, int64_t nodes, Time now,
                   const Knobs& knobs);

}  // namespace fernmoor
