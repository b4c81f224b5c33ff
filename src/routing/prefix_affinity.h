/// @file
/// Which engines are a prefix's homes: the same on every node, without asking anybody.
#pragma once

#include <vector>

#include "routing/routing_policy.h"

namespace fernmoor {

/// @return the hash that stands for the request's prefix: that of its block number `depth`, of its
/// last block where the prompt is shorter, of its row where it has no whole block.
uint64_t affinityKey(const RoutingRequest& request, int64_t depth);

/// @return indices of the candidates, the best home first (rendezvous order of their engine ids).
std::vector<size_t> homeOrder(uint64_t key, const std::vector<EngineCandidate>& candidates);

/// @return the best home of the key among the candidates.
size_t homeOf(uint64_t key, const std::vector<EngineCandidate>& candidates);

}  // namespace fernmoor
