#include "gateway/pool_selector.h"

namespace fernmoor::gateway {

std::string PoolSelector::select(const Row& row) {
  if (row.pools.size() == 1) {
    return row.pools.front().pool;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, double>& credits = credits_[row.name];
  double total = 0;
  const WeightedPool* best = nullptr;
  double bestCredit = 0;
  for (const WeightedPool& pool : row.pools) {
    total += pool.weight;
    double& credit = credits[pool.pool];
    credit += pool.weight;
    if (pool.weight > 0 && (best == nullptr || credit > bestCredit)) {
      best = &pool;
      bestCredit = credit;
    }
  }
  if (best == nullptr) {
    return row.pools.front().pool;
  }
  credits[best->pool] -= total;
  return best->pool;
}

}  // namespace fernmoor::gateway
