/// @file
/// Tests of src/backends/software_history.h, by way of BackendSet.
#include <doctest/doctest.h>

#include "backends/backend_set.h"

namespace fernmoor {

namespace {

Time at(int64_t seconds) {
  return Time(std::chrono::seconds(seconds));
}

BackendListing listing(const std::string& id, const std::string& software, int64_t startedAt = 0) {
  BackendListing made;
  made.id = id;
  made.pool = "pool";
  made.software = software;
  made.startedAt = startedAt;
  return made;
}

std::string soleOf(const BackendSet& set, Time since) {
  return set.soleSoftware("pool", since).value_or("none");
}

}  // namespace

TEST_CASE("the only version of a pool is known since the whole list is") {
  BackendSet set;
  set.update(listing("a", "v1"), at(0));
  CHECK(soleOf(set, at(0)) == "none");
  set.replaceAll({listing("a", "v1"), listing("b", "v1")}, at(10));
  CHECK(soleOf(set, at(9)) == "none");
  CHECK(soleOf(set, at(10)) == "v1");
  set.replaceAll({listing("a", "v1")}, at(20));  // A later list does not begin anew.
  CHECK(soleOf(set, at(10)) == "v1");
  CHECK_FALSE(set.soleSoftware("other pool", at(10)).has_value());
}

TEST_CASE("with two versions there is no only one, until the other is gone for long enough") {
  BackendSet set;
  set.replaceAll({listing("a", "v1"), listing("b", "v2")}, at(0));
  CHECK(soleOf(set, at(0)) == "none");
  SUBCASE("its engine left the list") {
    set.remove("a");
  }
  SUBCASE("its engine came back as the other version") {
    set.update(listing("a", "v2", 5), at(29));
  }
  SUBCASE("its entry says now that it runs the other version") {
    set.update(listing("a", "v2"), at(29));
  }
  CHECK(soleOf(set, at(29)) == "none");
  set.forgetOld(at(30));
  CHECK(soleOf(set, at(30)) == "none");
  CHECK(soleOf(set, at(31)) == "v2");
}

TEST_CASE("a process that started anew runs an unknown version until its entry comes") {
  BackendSet set;
  set.replaceAll({listing("a", "v1", 5), listing("b", "v1", 5)}, at(0));
  CHECK(soleOf(set, at(0)) == "v1");
  set.noteStart("a", 9);
  CHECK_FALSE(set.find("a")->software.has_value());
  CHECK(soleOf(set, at(0)) == "none");
  set.update(listing("a", "v1", 5), at(1));  // The entry of the former process.
  CHECK_FALSE(set.find("a")->software.has_value());
  set.update(listing("a", "v1", 9), at(2));
  set.forgetOld(at(3));
  CHECK(soleOf(set, at(4)) == "v1");
}

}  // namespace fernmoor
