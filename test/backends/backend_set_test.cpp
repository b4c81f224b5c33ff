/// @file
/// Tests of src/backends/backend_set.h and growing_pause.h.
#include "backends/backend_set.h"

#include <doctest/doctest.h>

#include "backends/growing_pause.h"

namespace fernmoor {

namespace {

Time at(int64_t milliseconds) {
  return Time(std::chrono::milliseconds(milliseconds));
}

BackendListing listing(const std::string& id, uint64_t version = 1) {
  BackendListing made;
  made.id = id;
  made.pool = "pool";
  made.weights.push_back(HeldWeights{"m", version});
  return made;
}

BackendView only(const BackendSet& set, Time now) {
  const std::vector<BackendView> members = set.membersOf("pool", "m", now);
  REQUIRE(members.size() == 1);
  return members.front();
}

}  // namespace

TEST_CASE("members are the listed back ends of the pool that are not leaving") {
  BackendSet set;
  BackendListing leaving = listing("b");
  leaving.isDraining = true;
  BackendListing elsewhere = listing("c");
  elsewhere.pool = "other";
  set.replaceAll({listing("a"), leaving, elsewhere}, at(0));
  CHECK(only(set, at(0)).listing->id == "a");
  CHECK(set.size() == 3);
  CHECK_FALSE(set.isUsable("b"));
  set.remove("a");
  CHECK(set.membersOf("pool", "m", at(0)).empty());
}

TEST_CASE("an outdated list does not lower a version that the engine reported") {
  BackendSet set;
  set.replaceAll({listing("a", 1)}, at(0));
  set.noteWeights("a", "m", 3);
  set.update(listing("a", 2), at(10));
  CHECK(only(set, at(10)).weightsVersion == 3);
  set.noteWeights("a", "m", 2);
  CHECK(only(set, at(10)).weightsVersion == 3);
  set.correctWeights("a", "m", 2);
  CHECK(only(set, at(10)).weightsVersion == 2);
}

TEST_CASE("a back end that restarts under its id loses its recorded state") {
  BackendSet set;
  BackendListing first = listing("a", 5);
  first.startedAt = 1000;
  set.replaceAll({first}, at(0));
  set.started("a", 700);
  set.avoidUntil("a", at(9000));
  const BackendView before = only(set, at(10));
  BackendListing second = listing("a", 3);
  second.startedAt = 2000;
  SUBCASE("by its entry") {
    set.update(second, at(20));
    CHECK(only(set, at(20)).weightsVersion == 3);
  }
  SUBCASE("by a new list") {
    set.replaceAll({second}, at(20));
    CHECK(only(set, at(20)).weightsVersion == 3);
  }
  SUBCASE("by its own report, while its entry is outdated") {
    set.noteStart("a", 2000);
    CHECK(only(set, at(20)).weightsVersion == 0);
    set.update(first, at(30));
    CHECK(only(set, at(30)).weightsVersion == 0);
    set.noteStart("a", 1000);
  }
  const BackendView after = only(set, at(40));
  CHECK(after.incarnation != before.incarnation);
  CHECK(after.listing->startedAt == 2000);
  CHECK(after.inFlight == 0);
  CHECK(after.pendingTokens == 0);
  CHECK_FALSE(after.isAvoided);
}

TEST_CASE("a back end that fails many of its requests is avoided for a time") {
  BackendSet set;
  set.replaceAll({listing("a")}, at(0));
  for (int request = 0; request < 20; ++request) {
    set.started("a", 10);
    set.ended("a", BackendVerdict::kServed, at(0));
  }
  set.started("a", 10);
  set.ended("a", BackendVerdict::kFailed, at(0));
  CHECK_FALSE(only(set, at(0)).isAvoided);
  for (int request = 0; request < 10; ++request) {
    set.started("a", 10);
    set.ended("a", BackendVerdict::kFailed, at(10));
  }
  CHECK(only(set, at(20)).isAvoided);
  CHECK(only(set, at(20)).inFlight == 0);
  CHECK_FALSE(only(set, at(60000)).isAvoided);
}

TEST_CASE("old failures do not count") {
  BackendSet set;
  set.replaceAll({listing("a")}, at(0));
  for (int request = 0; request < 6; ++request) {
    set.started("a", 0);
    set.ended("a", BackendVerdict::kFailed, at(int64_t{30000} * request));
  }
  CHECK_FALSE(only(set, at(150001)).isAvoided);
}

TEST_CASE("backoff grows to its bound, is randomized, and is reset after a success") {
  Backoff pause(std::chrono::milliseconds(100), std::chrono::milliseconds(400), 1);
  for (const int64_t longest : {100, 200, 400, 400}) {
    const Duration drawn = pause.afterFailure();
    CHECK(drawn >= std::chrono::milliseconds(longest / 2));
    CHECK(drawn <= std::chrono::milliseconds(longest));
  }
  pause.afterSuccess();
  CHECK(pause.afterFailure() <= std::chrono::milliseconds(100));
}

TEST_CASE("an incarnation that reported that it leaves stays draining whatever its entry says") {
  BackendSet set;
  set.replaceAll({listing("a"), listing("b")}, at(0));
  const uint64_t engine = incarnationHash(listing("a"));
  CHECK(set.noteLeaving(engine, at(10000)));
  CHECK_FALSE(set.noteLeaving(engine, at(10500)));
  CHECK_FALSE(set.isUsable("a"));
  SUBCASE("with an older entry, and with one that is added again") {
    set.update(listing("a"), at(10100));
    CHECK(set.find("a")->isDraining);
    set.remove("a");
    set.update(listing("a"), at(10200));
    CHECK(set.find("a")->isDraining);
    CHECK(only(set, at(12000)).listing->id == "b");
  }
  SUBCASE("if the report precedes its entry") {
    set.noteLeaving(incarnationHash(listing("c")), at(10000));
    set.update(listing("c"), at(10100));
    CHECK(set.find("c")->isDraining);
  }
  SUBCASE("but another incarnation is usable") {
    BackendListing restarted = listing("a");
    restarted.startedAt = 77;
    set.update(restarted, at(10100));
    CHECK(set.isUsable("a"));
    CHECK(set.membersOf("pool", "m", at(12000)).size() == 2);
  }
  SUBCASE("also after the engine reports a start time that its entry lacks") {
    CHECK(set.find("a")->isDraining);
    set.noteStart("a", 77);
    CHECK(set.find("a")->isDraining);
  }
  SUBCASE("and the record is kept while the engine may return, and removed long after") {
    set.remove("a");
    set.forgetOld(at(20000));
    set.forgetOld(at(320000));
    CHECK(set.withdrawal(engine, at(320000)).has_value());
    CHECK(set.withdrawn(at(50000)).size() == 1);
    CHECK(set.withdrawn(at(51000)).empty());  // No longer announced.
    set.forgetOld(at(700000));
    CHECK_FALSE(set.withdrawal(engine, at(700000)).has_value());
  }
}

TEST_CASE("a leaving back end accepts requests as a last resort for half of its bound") {
  BackendSet set(BackendSetBounds{std::chrono::seconds(3), Duration(0)});
  BackendListing leaving = listing("a");
  const BackendListing asIncarnation = leaving;
  SUBCASE("from its report in an answer") {
    set.update(leaving, at(0));
    set.noteLeaving(incarnationHash(leaving), at(10000));
  }
  SUBCASE("from the earliest time of its entry") {
    leaving.isDraining = true;
    leaving.notListedAt = at(10000);
    set.update(leaving, at(0));
  }
  CHECK(only(set, at(11499)).isLeaving);
  CHECK(set.takesRequests(asIncarnation, at(11499)));
  CHECK(set.membersOf("pool", "m", at(11500)).empty());
  CHECK_FALSE(set.takesRequests(asIncarnation, at(11500)));
}

TEST_CASE("a rest lasts to the latest end reported, and applies to one incarnation") {
  BackendSet set(BackendSetBounds{std::chrono::seconds(2), std::chrono::milliseconds(300)});
  set.update(listing("a"), at(0));
  const uint64_t engine = incarnationHash(listing("a"));
  CHECK(set.noteRest(engine, at(5000), RestOf::kThisNode));
  CHECK_FALSE(set.noteRest(engine, at(3000), RestOf::kThisNode));
  CHECK(only(set, at(4000)).restsUntil == at(5000));
  CHECK_FALSE(set.takesRequests(listing("a"), at(4999)));
  CHECK(set.takesRequests(listing("a"), at(5000)));
  CHECK_FALSE(only(set, at(4000)).isLeaving);
  CHECK(set.withdrawnCounts(at(4000)).resting == 1);
  SUBCASE("a rest asked of another node makes the back end avoided but usable") {
    CHECK(set.noteRest(engine, at(8000), RestOf::kOtherNode));
    CHECK(set.takesRequests(listing("a"), at(6000)));
    CHECK(only(set, at(8200)).isAvoided);
    CHECK_FALSE(only(set, at(8300)).isAvoided);
  }
  SUBCASE("another incarnation does not rest") {
    BackendListing restarted = listing("a");
    restarted.startedAt = 77;
    set.update(restarted, at(1000));
    CHECK(set.takesRequests(restarted, at(1000)));
    CHECK_FALSE(set.takesRequests(listing("a"), at(1000)));
  }
  SUBCASE("it is removed after its end") {
    set.forgetOld(at(5299));
    CHECK(set.withdrawn(at(4000)).size() == 1);
    set.forgetOld(at(5400));
    CHECK(set.withdrawn(at(4000)).empty());
  }
}

TEST_CASE("the upkeep of a long list examines only what may be due") {
  constexpr size_t kListed = 2000;
  BackendSet set;
  std::vector<BackendListing> listings;
  for (size_t index = 0; index < kListed; ++index) {
    listings.push_back(listing("e" + std::to_string(index)));
  }
  set.replaceAll(listings, at(0));
  CHECK(set.forgetOld(at(100)) == 0);

  SUBCASE("and statements of its back ends are found without a search") {
    const uint64_t leaving = incarnationHash(listings[7]);
    CHECK(set.noteLeaving(leaving, at(100)));
    CHECK(set.idOf(leaving) == "e7");
    CHECK(set.find("e7")->isDraining);
    CHECK(set.forgetOld(at(200)) == 1);
    set.remove("e7");
    CHECK(set.idOf(leaving).empty());
  }
  SUBCASE("and removals at their time, of which one may be cancelled") {
    set.removeAt("e1", at(3000));
    set.removeAt("e2", at(4000));
    set.removeAt("e3", at(3000));
    set.update(listing("e3"), at(200));
    CHECK(set.forgetOld(at(2999)) == 0);
    CHECK(set.forgetOld(at(3000)) == kListed);
    CHECK(set.size() == kListed - 1);
    CHECK(set.forgetOld(at(3999)) == 0);
    set.forgetOld(at(4000));
    CHECK_FALSE(set.find("e2"));
    CHECK(set.find("e3"));
  }
  SUBCASE("and a back end that restarts under its id is found by its new incarnation only") {
    BackendListing restarted = listing("e4");
    restarted.startedAt = 5;
    set.update(restarted, at(200));
    CHECK(set.idOf(incarnationHash(restarted)) == "e4");
    CHECK(set.idOf(incarnationHash(listings[4])).empty());
  }
}

}  // namespace fernmoor
