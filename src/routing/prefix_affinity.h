/// @file
/// Home engines of a prefix, that is, the engines that requests with this prefix prefer. Rendezvous
/// hashing gives the same order on every node without communication.
#pragma once

#include <vector>

#include "routing/routing_policy.h"

namespace fernmoor {

/// @return the hash that identifies the request's prefix: the chained hash of block number `depth`
/// (counted from 1), of the last block if the prompt is shorter, or of the row if the prompt has no
/// complete block.
uint64_t affinityKey(const RoutingRequest& request, int64_t depth);

/// @return indices of the candidates in rendezvous order of their engine ids, the first home first.
std::vector<size_t> homeOrder(uint64_t key, const std::vector<EngineCandidate>& candidates);

/// @return the index of the key's first home among the candidates.
size_t homeOf(uint64_t key, const std::vector<EngineCandidate>& candidates);

}  // namespace fernmoor
