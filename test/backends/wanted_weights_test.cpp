/// @file
/// Tests of src/backends/wanted_weights.h: the bound of a version holds on every node, whatever it
/// knows about the version, and is extended by outages in which engines can't be moved.
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

TEST_CASE("an engine must leave a version when the first newer one has its time behind it") {
  DesiredWeights wanted(WeightBounds{});
  CHECK_FALSE(wanted.deadlineFor("m", 1).has_value());
  wanted.note("m", 2, at(1000), at(1000));
  wanted.note("m", 3, at(4000), at(4000));
  wanted.note("m", 3, at(9000), at(9000));
  wanted.note("m", 1, at(9000), at(9000));
  CHECK(wanted.newest("m") == 3);
  CHECK(wanted.deadlineFor("m", 1) == at(9000));
  CHECK(wanted.deadlineFor("m", 2) == at(12000));
  CHECK_FALSE(wanted.deadlineFor("m", 3).has_value());
  CHECK(wanted.lowestServing("m", at(7999)) == 0);
  CHECK(wanted.lowestServing("m", at(8000)) == 2);
  CHECK(wanted.lowestServing("m", at(11000)) == 3);
}

TEST_CASE("on weights that an engine holds requests may begin until the first newer bound ends") {
  DesiredWeights wanted(bounds());
  CHECK_FALSE(wanted.boundEnd("m", 1).has_value());
  wanted.note("m", 2, at(1000), at(1000));
  wanted.note("m", 3, at(4000), at(4000));
  CHECK(wanted.boundEnd("m", 1) == at(9000));
  CHECK(wanted.boundEnd("m", 2) == at(12000));
  CHECK_FALSE(wanted.boundEnd("m", 3).has_value());
  wanted.noteStoreUnavailable(at(5000));
  CHECK(wanted.boundEnd("m", 1) == at(13000));
}

TEST_CASE("of a version named nobody knows when the bound ends when the node is held to it") {
  DesiredWeights wanted(bounds());
  wanted.note("m", 2, std::nullopt, at(50));
  CHECK(*wanted.deadlineFor("m", 1) == at(3000));
  CHECK(wanted.dueVersion("m", at(2999)) == 0);
  CHECK(wanted.dueVersion("m", at(3000)) == 2);

  SUBCASE("unless other nodes tell since when it is named") {
    wanted.learnSince("m", 2, at(-1000), at(400));
    CHECK(wanted.dueVersion("m", at(6999)) == 0);
    CHECK(wanted.dueVersion("m", at(7000)) == 2);
    SUBCASE("of which the latest instant before it is nearest to the truth") {
      wanted.learnSince("m", 2, at(-500), at(800));
      CHECK(wanted.dueVersion("m", at(7499)) == 0);
      CHECK(wanted.dueVersion("m", at(7500)) == 2);
    }
    SUBCASE("and an earlier one tells nothing") {
      wanted.learnSince("m", 2, at(-1500), at(800));
      CHECK(wanted.dueVersion("m", at(6999)) == 0);
      CHECK(wanted.dueVersion("m", at(7000)) == 2);
    }
  }
  SUBCASE("and is no later where the version is found once more") {
    wanted.note("m", 2, at(2500), at(2500));
    wanted.note("m", 2, std::nullopt, at(2600));
    CHECK(wanted.dueVersion("m", at(3000)) == 2);
  }
  SUBCASE("also where a newer one is not due yet") {
    wanted.note("m", 3, at(100), at(100));
    CHECK(wanted.dueVersion("m", at(3000)) == 2);
    CHECK(wanted.dueVersion("m", at(8100)) == 3);
  }
}

TEST_CASE("a node that was not there learns of all versions whose bounds matter still") {
  DesiredWeights older(bounds());
  older.note("m", 2, std::nullopt, at(0));
  older.note("m", 3, at(1000), at(1000));
  older.note("m", 4, at(4000), at(4000));
  DesiredWeights restarted(WeightBounds{std::chrono::seconds(8), at(8000)});
  restarted.note("m", 4, std::nullopt, at(5000));
  for (const RecentVersion& young : older.recentVersions(at(5000))) {
    restarted.learnSince(young.model, young.version, at(5000) - young.age, at(5000));
  }
  CHECK(restarted.deadlineFor("m", 2) == at(9000));
  CHECK(restarted.deadlineFor("m", 3) == at(12000));
  CHECK(restarted.dueVersion("m", at(8999)) == 0);
  CHECK(restarted.dueVersion("m", at(9000)) == 3);
  CHECK(older.recentVersions(at(60000)).empty());
}

TEST_CASE("a bound counts from when the store was away last, if it had not passed by then") {
  DesiredWeights wanted(bounds());
  wanted.note("m", 2, at(1000), at(1000));
  wanted.note("m", 3, at(4000), at(4000));
  wanted.noteStoreUnavailable(at(10000));
  CHECK(wanted.dueVersion("m", at(9000)) == 2);
  CHECK(wanted.dueVersion("m", at(17999)) == 2);
  CHECK(wanted.dueVersion("m", at(18000)) == 3);

  SUBCASE("while engines are to be moved as soon as before") {
    CHECK(wanted.deadlineFor("m", 2) == at(12000));
  }
  SUBCASE("versions named after that have their own time") {
    wanted.note("m", 4, at(10500), at(10500));
    CHECK(wanted.dueVersion("m", at(18500)) == 4);
  }
  SUBCASE("a node that found a version after the outage counts from it") {
    DesiredWeights restarted(bounds());
    restarted.noteStoreUnavailable(at(2500));
    restarted.note("m", 2, std::nullopt, at(2600));
    CHECK(restarted.dueVersion("m", at(10499)) == 0);
    CHECK(restarted.dueVersion("m", at(10500)) == 2);
  }
}

}  // namespace fernmoor
