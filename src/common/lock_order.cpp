#include "common/lock_order.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace fernmoor {

namespace {

std::vector<LockRank>& heldRanks() {
  thread_local std::vector<LockRank> ranks;
  return ranks;
}

void checkOrder(LockRank wanted) {
#ifndef NDEBUG
  for (const LockRank held : heldRanks()) {
    if (held >= wanted) {
      std::fprintf(stderr, "lock order broken: rank %d taken while %d is held\n",
                   static_cast<int>(wanted), static_cast<int>(held));
      std::abort();
    }
  }
#endif
}

}  // namespace

void RankedMutex::lock() {
  checkOrder(rank_);
  mutex_.lock();
  heldRanks().push_back(rank_);
}

void RankedMutex::unlock() {
  auto& ranks = heldRanks();
  const auto last = std::find(ranks.rbegin(), ranks.rend(), rank_);
  ranks.erase(std::next(last).base());
  mutex_.unlock();
}

}  // namespace fernmoor
