/// @file
/// The slopes of docs/CAPACITY.md, one function for each part of the product. Each measures on the
/// calling thread and takes seconds.
#pragma once

#include <vector>

#include "bench/slope.h"

namespace fernmoor::bench {

/// Hashing of prompts, by blocks.
std::vector<Slope> measurePromptHashing();
/// One choice of an engine, by candidates.
std::vector<Slope> measureRoutingDecision();

}  // namespace fernmoor::bench
