/// @file
/// Tests of src/admission/retry_budget.h and sliding_count.h.
#include "admission/retry_budget.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

const Time kStart{std::chrono::seconds(1000)};

Time at(double seconds) {
  return kStart + fromSeconds(seconds);
}

}  // namespace

TEST_CASE("a sliding count leaves out what has left its window, and no more than a tenth of it") {
  SlidingCount count(std::chrono::seconds(10));
  for (int second = 0; second < 30; ++second) {
    count.add(at(second));
    const auto expected = static_cast<uint64_t>(std::min(10, second + 1));
    CHECK(count.countAt(at(second)) == expected);
  }
  CHECK(count.countAt(at(34.0)) == 5);
  CHECK(count.countAt(at(1000)) == 0);
  SlidingCount ofNoTime{Duration(0)};
  ofNoTime.add(kStart);
  CHECK(ofNoTime.countAt(at(1)) == 0);
  count.add(at(1000));
  CHECK(count.countAt(at(900)) == 1);  // The clock of another thread was read a little earlier.
}

TEST_CASE("a process that has just started has no retries to give away") {
  RetryBudgetOptions options = splitRatio(0.2);
  options.savedAlways = 50;
  RetryBudget budget(options);
  CHECK_FALSE(budget.tryRetry(kStart));
  CHECK_FALSE(budget.tryRetry(at(100)));
}

TEST_CASE("retries cost what requests have earned, and savings are bounded") {
  RetryBudgetOptions options;
  options.earnedPerRequest = 0.2;
  options.savedPerRequest = 0.1;
  options.savedAlways = 3;
  RetryBudget budget(options);
  for (int request = 0; request < 5; ++request) {
    budget.countRequest(kStart);
  }
  CHECK(budget.tryRetry(kStart));
  CHECK_FALSE(budget.tryRetry(kStart));
  for (int request = 0; request < 95; ++request) {
    budget.countRequest(kStart);
  }
  CHECK(budget.tokensAt(kStart) == doctest::Approx(0.1 * 100 + 3));
  CHECK(budget.tokensAt(at(20)) == doctest::Approx(3));  // The requests have left the window.
  budget.setSavedAlways(1);
  CHECK(budget.tryRetry(at(20)));
  CHECK_FALSE(budget.tryRetry(at(20)));
}

TEST_CASE("retries stay within a tenth of the requests, with a few allowed in light traffic") {
  RetryBudgetOptions options = splitRatio(0.1);
  options.earnedPerSecond = 1;
  options.savedAlways = 5;
  RetryBudget budget(options);
  CHECK_FALSE(budget.tryRetry(kStart));
  CHECK(budget.tryRetry(at(1)));
  CHECK_FALSE(budget.tryRetry(at(1.5)));
  int retries = 0;
  for (int request = 0; request < 10000; ++request) {
    const Time now = at(2 + request * 0.001);
    budget.countRequest(now);
    retries += budget.tryRetry(now) ? 1 : 0;
  }
  CHECK(retries > 500);
  CHECK(retries < 1200);
}

}  // namespace fernmoor
