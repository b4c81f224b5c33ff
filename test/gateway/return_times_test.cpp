/// @file
/// Tests of src/gateway/return_times.h, with a fixed seed and given times.
#include "gateway/return_times.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace fernmoor::gateway {

namespace {

constexpr Time kStart{std::chrono::hours(1)};
constexpr Duration kDue{200000};
constexpr Duration kTimeLeft{15000000};

}  // namespace

TEST_CASE("a caller that is rejected occasionally retries at the next permit") {
  ReturnTimes times(1);
  for (int step = 0; step < 20; ++step) {
    times.notePermitted("pool", kStart + step * kDue);
  }
  CHECK((times.next("pool", kDue, kTimeLeft, kStart + 20 * kDue) == kDue));
  CHECK((times.next("pool", kDue, kTimeLeft, kStart + 20 * kDue) <= kDue + kDue / 5));
}

TEST_CASE("retries of callers that are rejected constantly are spread, within their deadlines") {
  ReturnTimes times(1);
  constexpr int kCallers = 400;
  std::vector<Duration> told;
  told.reserve(kCallers);
  for (int step = 0; step < kCallers; ++step) {
    told.push_back(times.next("pool", kDue, kTimeLeft, kStart + step * kDue / 20));
  }
  const auto late = std::count_if(told.begin() + 200, told.end(),
                                  [](Duration each) { return each > std::chrono::seconds(2); });
  CHECK(late > 50);
  CHECK(late < 180);
  CHECK((*std::min_element(told.begin(), told.end()) >= kDue));
  CHECK((*std::max_element(told.begin(), told.end()) <= kTimeLeft / 3));
}

TEST_CASE("no retry time is earlier than the next permit") {
  ReturnTimes times(1);
  for (int step = 0; step < 100; ++step) {
    times.next("pool", kDue, kTimeLeft, kStart);
  }
  const Duration due = std::chrono::seconds(4);
  CHECK((times.next("pool", due, std::chrono::seconds(1), kStart) == due));
}

}  // namespace fernmoor::gateway
