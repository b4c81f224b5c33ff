/// @file
/// Tests of platform/rows_schedule.h.
#include "platform/rows_schedule.h"

#include <doctest/doctest.h>

#include <vector>

namespace fernmoor::platform {

namespace {

constexpr Duration kTick{50000};
const Time kStart{std::chrono::hours(1)};

/// @return the times of all reads, in ms after the start, of a node that looks every 50 ms.
std::vector<int64_t> readsWithin(RowsSchedule& schedule, bool isStart, Duration time) {
  std::vector<int64_t> reads;
  for (Time now = kStart; now < kStart + time; now += kTick) {
    if (schedule.isDue(isStart, now)) {
      schedule.noteRead(now);
      schedule.noteSuccess();
      reads.push_back((now - kStart).count() / 1000);
    }
  }
  return reads;
}

}  // namespace

TEST_CASE("a node that starts reads at once, again when a read can confirm the rows, then seldom") {
  RowsSchedule schedule(kStart, 1);
  CHECK(readsWithin(schedule, true, std::chrono::seconds(7)) ==
        std::vector<int64_t>{0, 1000, 3500, 6000});
}

TEST_CASE("a reader reads at a steady rate") {
  RowsSchedule schedule(kStart, 1);
  CHECK(readsWithin(schedule, false, std::chrono::seconds(2)) ==
        std::vector<int64_t>{0, 600, 1200, 1800});
}

TEST_CASE("a failed read is repeated after a growing pause, which a success ends") {
  RowsSchedule schedule(kStart, 1);
  schedule.noteRead(kStart);
  schedule.noteFailure();
  CHECK_FALSE(schedule.isDue(false, kStart + kInitialBackoff / 2 - Duration(1)));
  CHECK(schedule.isDue(false, kStart + kInitialBackoff));
  for (int failure = 0; failure < 6; ++failure) {
    schedule.noteFailure();
  }
  CHECK_FALSE(schedule.isDue(false, kStart + kMaxBackoff / 2 - Duration(1)));
  CHECK(schedule.isDue(false, kStart + kMaxBackoff));
  schedule.noteSuccess();
  CHECK(schedule.isDue(false, kStart + std::chrono::milliseconds(600)));
}

}  // namespace fernmoor::platform
