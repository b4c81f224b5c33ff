/// @file
/// Tests of src/gateway/byte_budget.h.
#include "gateway/byte_budget.h"

#include <doctest/doctest.h>

#include <atomic>
#include <random>
#include <thread>
#include <vector>

namespace fernmoor::gateway {

TEST_CASE("a budget grants a reservation completely or not at all, and reclaims released bytes") {
  ByteBudget budget(100);
  {
    HeldBytes first(budget);
    HeldBytes second(budget);
    CHECK(first.add(60));
    CHECK_FALSE(second.add(41));
    CHECK(budget.hasRoom(40));
    CHECK_FALSE(budget.hasRoom(41));
    CHECK(second.add(40));
    CHECK_FALSE(first.add(1));
    first.clear();
    CHECK(second.add(60));
    CHECK(budget.held() == 100);
  }
  CHECK(budget.held() == 0);
}

TEST_CASE("a budget is unlimited if the machine's memory size is unknown") {
  ByteBudget budget(callersShare(0));
  HeldBytes held(budget);
  CHECK(held.add(size_t{1} << 40));
  CHECK(budget.hasRoom(size_t{1} << 40));
}

TEST_CASE("concurrent requests never exceed the budget and release all their bytes") {
  constexpr size_t kBudget = 1000000;
  ByteBudget budget(kBudget);
  std::atomic<size_t> most{0};
  std::vector<std::thread> threads;
  for (unsigned seed = 0; seed < 4; ++seed) {
    threads.emplace_back([&budget, &most, seed] {
      std::mt19937 random(seed);
      for (int request = 0; request < 2000; ++request) {
        HeldBytes held(budget);
        for (int piece = 0; piece < 8; ++piece) {
          held.add(random() % 100000);
        }
        const size_t now = budget.held();
        size_t before = most;
        while (before < now && !most.compare_exchange_weak(before, now)) {
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(most <= kBudget);
  CHECK(budget.held() == 0);
}

}  // namespace fernmoor::gateway
