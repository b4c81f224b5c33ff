/// @file
/// Tests of src/gateway/load_shedding.h with given memory sizes.
#include "gateway/load_shedding.h"

#include <doctest/doctest.h>

#include <random>

namespace fernmoor::gateway {

namespace {

constexpr size_t kMegabyte = 1000000;
constexpr size_t kSmallMachine = 88 * kMegabyte;

}  // namespace

TEST_CASE("requests are refused from the high-water mark until memory falls below the low one") {
  LoadShedding shedding(100 * kMegabyte);
  CHECK_FALSE(shedding.note(79 * kMegabyte));
  CHECK_FALSE(shedding.isShedding());
  CHECK(shedding.note(80 * kMegabyte));
  CHECK(shedding.isShedding());
  CHECK_FALSE(shedding.note(70 * kMegabyte));
  CHECK(shedding.isShedding());
  CHECK(shedding.note(70 * kMegabyte - 1));
  CHECK_FALSE(shedding.isShedding());
  CHECK_FALSE(shedding.note(79 * kMegabyte));
  CHECK_FALSE(shedding.isShedding());
}

TEST_CASE("a process without a known memory limit never sheds load") {
  LoadShedding shedding(0);
  CHECK_FALSE(shedding.note(size_t{1} << 50));
  CHECK_FALSE(shedding.isShedding());
  CHECK(shedding.level(size_t{1} << 50) == MemoryLevel::kBelow);
}

TEST_CASE("load is always shed above the high-water mark and never below the low one") {
  std::mt19937_64 random(35);
  for (int run = 0; run < 200; ++run) {
    LoadShedding shedding(kSmallMachine);
    for (int step = 0; step < 200; ++step) {
      const size_t bytes = random() % (kSmallMachine + kMegabyte);
      const bool before = shedding.isShedding();
      const bool changed = shedding.note(bytes);
      CHECK(changed == (shedding.isShedding() != before));
      switch (shedding.level(bytes)) {
        case MemoryLevel::kAbove:
          CHECK(shedding.isShedding());
          break;
        case MemoryLevel::kBelow:
          CHECK_FALSE(shedding.isShedding());
          break;
        case MemoryLevel::kBetween:
          CHECK(shedding.isShedding() == before);
          break;
      }
    }
  }
}

TEST_CASE("memory is sampled at least twice while a full link could fill the reserve") {
  for (const double link : {10.0, 100.0, 1000.0}) {
    for (const size_t limit : {kSmallMachine, 260 * kMegabyte}) {
      const double perLook = link * 125000 * toSeconds(memoryLookInterval(limit, link));
      CHECK(perLook * 2 <= static_cast<double>(limit) / 5);
    }
  }
  CHECK(memoryLookInterval(0, 10) == memoryLookInterval(kSmallMachine, 0));
}

TEST_CASE("received but unread bytes are reserved for by the number of requests in progress") {
  CHECK(unreadReserve(0) == 0);
  CHECK(unreadReserve(1500) > 1500 * 4096);
  CHECK(unreadReserve(1500) < kSmallMachine / 5);
}

}  // namespace fernmoor::gateway
