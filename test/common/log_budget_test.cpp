/// @file
/// Tests of src/common/log_budget.h: a flood is bounded, and what was left out is told.
#include "common/log_budget.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {
constexpr Time kStart{std::chrono::seconds(1000)};
}

TEST_CASE("a flood writes its burst, then only as many lines a second as it may") {
  LogBudget budget(LogBudgetBounds{5, 20});
  int written = 0;
  for (int line = 0; line < 1000; ++line) {
    written += budget.take(kStart) ? 1 : 0;
  }
  CHECK(written == 20);
  for (int line = 0; line < 1000; ++line) {
    written += budget.take(kStart + std::chrono::milliseconds(line)) ? 1 : 0;
  }
  CHECK(written == 20 + 4);
}

TEST_CASE("the next line tells how many were left out") {
  LogBudget budget(LogBudgetBounds{1, 1});
  CHECK(budget.take(kStart) == 0);
  CHECK_FALSE(budget.take(kStart).has_value());
  CHECK_FALSE(budget.take(kStart).has_value());
  CHECK(budget.take(kStart + std::chrono::seconds(1)) == 2);
  CHECK(budget.take(kStart + std::chrono::seconds(2)) == 0);
}

TEST_CASE("a clock that stands still or goes back gains no lines") {
  LogBudget budget(LogBudgetBounds{10, 1});
  CHECK(budget.take(kStart).has_value());
  CHECK_FALSE(budget.take(kStart - std::chrono::seconds(5)).has_value());
  CHECK_FALSE(budget.take(kStart).has_value());
}

}  // namespace fernmoor
