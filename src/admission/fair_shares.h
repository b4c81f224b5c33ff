/// @file
/// Max-min fair shares: nobody gets more than it asks for, and what is left is split evenly among
/// those that ask for more. D. Bertsekas, R. Gallager, "Data Networks", section 6.5.
#pragma once

#include <cstdint>
#include <vector>

namespace fernmoor {

/// @return the share of each demand; their sum is at most the capacity.
std::vector<double> maxMinShares(const std::vector<double>& demands, double capacity);

/// Like the above in whole places; what no demand needs is spread evenly as headroom.
std::vector<int64_t> placeShares(const std::vector<int64_t>& demands, int64_t capacity);

}  // namespace fernmoor
