/// @file
/// Tests of src/gateway/work_state.h and second_send_budget.h.
#include "gateway/work_state.h"

#include <doctest/doctest.h>

#include "gateway/second_send_budget.h"

namespace fernmoor::gateway {

namespace {

Time at(int64_t milliseconds) {
  return Time(std::chrono::milliseconds(milliseconds));
}

}  // namespace

TEST_CASE("a stopping process rejects late requests and ends when all are answered or time is up") {
  WorkState state(StopTimes{std::chrono::milliseconds(3200), std::chrono::milliseconds(2850),
                            std::chrono::milliseconds(7750)});
  CHECK(state.takesWork(at(1000)));
  CHECK_FALSE(state.mayEnd(at(1000)));
  state.stop(at(1000));
  CHECK(state.isStopping());
  CHECK(state.takesWork(at(3849)));
  CHECK_FALSE(state.takesWork(at(3850)));
  CHECK_FALSE(state.mayEnd(at(4199)));
  CHECK(state.mayEnd(at(4200)));
  const WorkState::Guard running(state);
  CHECK_FALSE(state.mayEnd(at(8749)));
  CHECK(state.mayEnd(at(8750)));
}

TEST_CASE("second sends stay within their share of the requests in every window") {
  SecondSendBudget budget(SecondSendBounds{0.2, std::chrono::seconds(10), 1});
  for (int request = 0; request < 10; ++request) {
    budget.countRequest("a", at(int64_t{100} * request));
  }
  int granted = 0;
  for (int tries = 0; tries < 10; ++tries) {
    granted += budget.trySecondSend("a", at(1000 + tries)) ? 1 : 0;
  }
  CHECK(granted == 3);
  CHECK(budget.trySecondSend("b", at(1000)));
  CHECK_FALSE(budget.trySecondSend("b", at(1000)));
  budget.setAllowance(0);
  CHECK_FALSE(budget.trySecondSend("c", at(1000)));
  budget.setAllowance(1);
  // After the requests have left the window, only the fixed allowance remains.
  CHECK(budget.trySecondSend("a", at(20000)));
  CHECK_FALSE(budget.trySecondSend("a", at(20000)));
}

}  // namespace fernmoor::gateway
