/// @file
/// Tests of src/backends/revision_times.h: an object is never dated after the time at which it was
/// written.
#include "backends/revision_times.h"

#include <doctest/doctest.h>

#include "common/store_revision.h"

namespace fernmoor {

namespace {

constexpr Time at(int64_t milliseconds) {
  return Time(std::chrono::seconds(1000)) + std::chrono::milliseconds(milliseconds);
}

}  // namespace

TEST_CASE("an object is dated by the last time at which the store had a lower revision") {
  RevisionTimes times;
  CHECK_FALSE(times.notBefore(5).has_value());
  CHECK_FALSE(times.newest().has_value());
  times.note({10, at(0)});
  times.note({10, at(600)});
  times.note({14, at(1200)});
  CHECK_FALSE(times.notBefore(10).has_value());  // It existed before the first entry.
  CHECK(times.notBefore(11) == at(600));
  CHECK(times.notBefore(14) == at(600));
  CHECK(times.notBefore(15) == at(1200));
  CHECK(times.newest()->revision == 14);
  CHECK(times.newest()->at == at(1200));

  SUBCASE("also if another node reports such a time later") {
    times.note({12, at(500)});
    CHECK(times.notBefore(13) == at(600));
    times.note({12, at(900)});
    CHECK(times.notBefore(13) == at(900));
    CHECK(times.notBefore(12) == at(600));
    times.note({12, at(1300)});
    CHECK(times.notBefore(15) == at(1300));
    CHECK(times.newest()->revision == 12);
  }
  SUBCASE("and the oldest entries are dropped") {
    for (int call = 0; call < 200; ++call) {
      times.note({static_cast<uint64_t>(20 + call), at(2000 + call)});
    }
    CHECK_FALSE(times.notBefore(15).has_value());
    CHECK(times.notBefore(219) == at(2198));
  }
}

TEST_CASE("objects possibly rewritten after a restore of the store are dated by the former era") {
  RevisionTimes times;
  times.note({storeRevision(1, 500), at(0)});
  times.note({storeRevision(1, 510), at(600)});
  times.note({storeRevision(2, 300), at(2600)});
  times.note({storeRevision(2, 320), at(3200)});
  times.note({storeRevision(2, 330), at(5700)});
  times.note({storeRevision(2, 331), at(6300)});
  CHECK(times.newest()->revision == storeRevision(2, 331));
  CHECK(times.notBefore(storeRevision(2, 250)) == at(600));
  CHECK(times.notBefore(storeRevision(2, 310)) == at(600));
  CHECK(times.notBefore(storeRevision(2, 325)) == at(600));
  CHECK(times.notBefore(storeRevision(2, 332)) == at(6300));
  CHECK(times.notBefore(storeRevision(1, 505)) == at(0));
  REQUIRE(times.change());
  CHECK(times.change()->seenAt == at(2600));

  SUBCASE("also at a node that started later and receives the era change") {
    RevisionTimes late;
    late.note({storeRevision(2, 320), at(3200)});
    CHECK(late.notBefore(storeRevision(2, 325)) == at(3200));
    late.noteChange(2, *times.change());
    CHECK(late.notBefore(storeRevision(2, 325)) == at(600));
    late.note({storeRevision(2, 331), at(6300)});
    CHECK(late.notBefore(storeRevision(2, 332)) == at(6300));
  }
  SUBCASE("the latest known time of the former era counts") {
    times.noteChange(2, EraChange{{storeRevision(1, 512), at(900)}, at(2500)});
    CHECK(times.notBefore(storeRevision(2, 325)) == at(900));
    times.noteChange(1, EraChange{{storeRevision(0, 9), at(0)}, at(10)});
    CHECK(times.notBefore(storeRevision(2, 325)) == at(900));
  }
}

}  // namespace fernmoor
