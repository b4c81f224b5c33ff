/// @file
/// Max-min fair allocation: no share exceeds its demand, and the remaining capacity is divided
/// evenly among the unsatisfied demands. D. Bertsekas, R. Gallager, "Data Networks", section 6.5.
#pragma once

#include <cstdint>
#include <vector>

namespace fernmoor {

/// @return the share of each demand; their sum is at most the capacity.
std::vector<double> maxMinShares(const std::vector<double>& demands, double capacity);

/// Integer version for places (concurrency slots). Capacity left after all demands are met is
/// distributed evenly as headroom, so shares may exceed demands.
std::vector<int64_t> placeShares(const std::vector<int64_t>& demands, int64_t capacity);

}  // namespace fernmoor
