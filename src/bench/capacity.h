/// @file
/// What one node costs at the size of the target, computed from measured slopes, by role.
#pragma once

#include <string>
#include <vector>

#include "bench/slope.h"

namespace fernmoor::bench {

/// Cost of one duty of a node.
struct RoleCost {
  std::string role;
  std::string state;
  std::string messages;
  double corePercent = 0;
  double bytes = 0;                  ///< Memory.
  double sentBytesPerSecond = 0;     ///< To other nodes.
  double backEndBytesPerSecond = 0;  ///< Taken in from engines; not part of the budget's 22 KB/s.
  std::string computation;           ///< Which slopes at which sizes.
};

/// @param slopes all that fernmoor-bench slopes measures.
/// @return one entry for each role; empty where a slope is missing.
std::vector<RoleCost> computeCapacity(const std::vector<Slope>& slopes);

/// @return a Markdown table with the sum and the budget.
std::string capacityTable(const std::vector<RoleCost>& roles);

}  // namespace fernmoor::bench
