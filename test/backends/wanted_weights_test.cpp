/// @file
/// Tests of src/backends/wanted_weights.h: the bound of a version holds on every node, whatever
/// the node knows about the version, and is extended by outages in which engines can't be moved.
#include "backends/wanted_weights.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

constexpr Time at(int64_t milliseconds) {
  return Time(std::chrono::seconds(1000)) + std::chrono::milliseconds(milliseconds);
}

/// Bounds of a node that was started at 0.
WeightBounds bounds() {
  return WeightBounds{std::chrono::seconds(8), at(3000)};
}

}  // namespace

TEST_CASE("the deadline of a version is the end of the bound of the first newer one") {
  DesiredWeights desired(WeightBounds{});
  CHECK_FALSE(desired.deadlineFor("m", 1).has_value());
  desired.note("m", 2, at(1000), at(1000));
  desired.note("m", 3, at(4000), at(4000));
  desired.note("m", 3, at(9000), at(9000));
  desired.note("m", 1, at(9000), at(9000));
  CHECK(desired.newest("m") == 3);
  CHECK(desired.deadlineFor("m", 1) == at(9000));
  CHECK(desired.deadlineFor("m", 2) == at(12000));
  CHECK_FALSE(desired.deadlineFor("m", 3).has_value());
  CHECK(desired.lowestServing("m", at(7999)) == 0);
  CHECK(desired.lowestServing("m", at(8000)) == 2);
  CHECK(desired.lowestServing("m", at(11000)) == 3);
}

TEST_CASE("requests may begin on held weights until the bound of the first newer version ends") {
  DesiredWeights desired(bounds());
  CHECK_FALSE(desired.boundEnd("m", 1).has_value());
  desired.note("m", 2, at(1000), at(1000));
  desired.note("m", 3, at(4000), at(4000));
  CHECK(desired.boundEnd("m", 1) == at(9000));
  CHECK(desired.boundEnd("m", 2) == at(12000));
  CHECK_FALSE(desired.boundEnd("m", 3).has_value());
  desired.noteStoreUnavailable(at(5000));
  CHECK(desired.boundEnd("m", 1) == at(13000));
}

TEST_CASE("the bound of a version with unknown time ends when the node must enforce bounds") {
  DesiredWeights desired(bounds());
  desired.note("m", 2, std::nullopt, at(50));
  CHECK(*desired.deadlineFor("m", 1) == at(3000));
  CHECK(desired.dueVersion("m", at(2999)) == 0);
  CHECK(desired.dueVersion("m", at(3000)) == 2);

  SUBCASE("unless other nodes report since when it is desired") {
    desired.learnSince("m", 2, at(-1000), at(400));
    CHECK(desired.dueVersion("m", at(6999)) == 0);
    CHECK(desired.dueVersion("m", at(7000)) == 2);
    SUBCASE("and the latest reported time counts") {
      desired.learnSince("m", 2, at(-500), at(800));
      CHECK(desired.dueVersion("m", at(7499)) == 0);
      CHECK(desired.dueVersion("m", at(7500)) == 2);
    }
    SUBCASE("and an earlier time is ignored") {
      desired.learnSince("m", 2, at(-1500), at(800));
      CHECK(desired.dueVersion("m", at(6999)) == 0);
      CHECK(desired.dueVersion("m", at(7000)) == 2);
    }
  }
  SUBCASE("and is not extended if the version is read again") {
    desired.note("m", 2, at(2500), at(2500));
    desired.note("m", 2, std::nullopt, at(2600));
    CHECK(desired.dueVersion("m", at(3000)) == 2);
  }
  SUBCASE("also if a newer version is not due yet") {
    desired.note("m", 3, at(100), at(100));
    CHECK(desired.dueVersion("m", at(3000)) == 2);
    CHECK(desired.dueVersion("m", at(8100)) == 3);
  }
}

TEST_CASE("a restarted node receives all versions whose bounds still apply") {
  DesiredWeights older(bounds());
  older.note("m", 2, std::nullopt, at(0));
  older.note("m", 3, at(1000), at(1000));
  older.note("m", 4, at(4000), at(4000));
  DesiredWeights restarted(WeightBounds{std::chrono::seconds(8), at(8000)});
  restarted.note("m", 4, std::nullopt, at(5000));
  for (const RecentVersion& recent : older.recentVersions(at(5000))) {
    restarted.learnSince(recent.model, recent.version, at(5000) - recent.age, at(5000));
  }
  CHECK(restarted.deadlineFor("m", 2) == at(9000));
  CHECK(restarted.deadlineFor("m", 3) == at(12000));
  CHECK(restarted.dueVersion("m", at(8999)) == 0);
  CHECK(restarted.dueVersion("m", at(9000)) == 3);
  CHECK(older.recentVersions(at(60000)).empty());
}

TEST_CASE("a bound that had not ended counts from the last time the store was unavailable") {
  DesiredWeights desired(bounds());
  desired.note("m", 2, at(1000), at(1000));
  desired.note("m", 3, at(4000), at(4000));
  desired.noteStoreUnavailable(at(10000));
  CHECK(desired.dueVersion("m", at(9000)) == 2);
  CHECK(desired.dueVersion("m", at(17999)) == 2);
  CHECK(desired.dueVersion("m", at(18000)) == 3);

  SUBCASE("but the deadline of moves is unchanged") {
    CHECK(desired.deadlineFor("m", 2) == at(12000));
  }
  SUBCASE("versions desired after that have their own bound") {
    desired.note("m", 4, at(10500), at(10500));
    CHECK(desired.dueVersion("m", at(18500)) == 4);
  }
  SUBCASE("a node that reads a version after the outage counts from the outage") {
    DesiredWeights restarted(bounds());
    restarted.noteStoreUnavailable(at(2500));
    restarted.note("m", 2, std::nullopt, at(2600));
    CHECK(restarted.dueVersion("m", at(10499)) == 0);
    CHECK(restarted.dueVersion("m", at(10500)) == 2);
  }
}

}  // namespace fernmoor
