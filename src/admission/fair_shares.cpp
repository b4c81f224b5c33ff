#include "admission/fair_shares.h"

#include <algorithm>
#include <numeric>

namespace fernmoor {

std::vector<double> maxMinShares(const std::vector<double>& demands, double capacity) {
  std::vector<size_t> order(demands.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return demands[a] < demands[b]; });
  std::vector<double> shares(demands.size());
  double left = capacity;
  for (size_t rank = 0; rank < order.size(); ++rank) {
    const double even = left / static_cast<double>(order.size() - rank);
    shares[order[rank]] = std::min(demands[order[rank]], even);
    left -= shares[order[rank]];
  }
  return shares;
}

std::vector<int64_t> placeShares(const std::vector<int64_t>& demands, int64_t capacity) {
  std::vector<int64_t> shares(demands.size(), 0);
  int64_t left = capacity;
  bool anyServed = true;
  while (left > 0 && anyServed) {
    anyServed = false;
    for (size_t index = 0; index < demands.size() && left > 0; ++index) {
      if (shares[index] < demands[index]) {
        ++shares[index];
        --left;
        anyServed = true;
      }
    }
  }
  for (size_t index = 0; left > 0 && !demands.empty(); index = (index + 1) % demands.size()) {
    ++shares[index];
    --left;
  }
  return shares;
}

}  // namespace fernmoor
