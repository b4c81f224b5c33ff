/// @file
/// Tests of src/gateway/software_choice.h.
#include "gateway/software_choice.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace fernmoor::gateway {

namespace {

BackendView member(const std::string& id, const std::optional<std::string>& software) {
  auto listing = std::make_shared<BackendListing>();
  listing->id = id;
  listing->software = software;
  BackendView view;
  view.listing = listing;
  return view;
}

std::string idsOf(const std::vector<BackendView>& members) {
  std::string ids;
  for (const BackendView& each : members) {
    ids += each.listing->id;
  }
  return ids;
}

constexpr Time kNow{std::chrono::seconds(100)};

std::vector<BackendView> toBegin(const std::vector<BackendView>& members) {
  return membersToBegin(members, kNow);
}

}  // namespace

TEST_CASE("only members of the version that a stream is bound to are left") {
  std::vector<BackendView> members = {member("a", "v1"), member("b", "v2"),
                                      member("c", std::nullopt)};
  leaveOutOtherSoftware(members, "v1");
  CHECK(idsOf(members) == "a");
}

TEST_CASE("members of one version need no choice among versions") {
  CHECK_FALSE(runSeveralVersions({}));
  CHECK_FALSE(runSeveralVersions({member("a", "v1"), member("b", "v1")}));
  CHECK(runSeveralVersions({member("a", "v1"), member("b", "v1"), member("c", "v2")}));
  CHECK(runSeveralVersions({member("a", "v1"), member("b", std::nullopt)}));
}

TEST_CASE("a stream begins at a version at which it can go on") {
  SUBCASE("the first engine of a new version gets none") {
    CHECK(idsOf(toBegin({member("a", "v1"), member("b", "v1"), member("c", "v2")})) == "ab");
  }
  SUBCASE("both versions get some as soon as each has two") {
    CHECK(idsOf(toBegin({member("a", "v1"), member("b", "v1"), member("c", "v2"),
                         member("d", "v2")})) == "abcd");
  }
  SUBCASE("engines that leave or failed do not count") {
    BackendView leaves = member("a", "v1");
    leaves.isLeaving = true;
    BackendView failed = member("c", "v1");
    failed.isAvoided = true;
    CHECK(idsOf(toBegin(
              {leaves, member("b", "v1"), failed, member("d", "v2"), member("e", "v2")})) == "de");
  }
  SUBCASE("an engine of unknown version gets none while others can") {
    CHECK(idsOf(toBegin({member("a", std::nullopt), member("b", std::nullopt), member("c", "v1"),
                         member("d", "v1")})) == "cd");
  }
  SUBCASE("a version of which other nodes may not have heard gets none while others can") {
    BackendView first = member("c", "v2");
    BackendView second = member("d", "v2");
    first.softwareSince = second.softwareSince = kNow - std::chrono::milliseconds(1500);
    const BackendView old = member("a", "v1");
    CHECK(idsOf(toBegin({old, member("b", "v1"), first, second})) == "ab");
    CHECK(idsOf(toBegin({old, first, second})) == "cd");
    first.softwareSince = second.softwareSince = kNow - std::chrono::milliseconds(2500);
    CHECK(idsOf(toBegin({old, member("b", "v1"), first, second})) == "abcd");
  }
  SUBCASE("all get some where no version has two") {
    CHECK(idsOf(toBegin({member("a", "v1"), member("b", "v2")})) == "ab");
  }
}

TEST_CASE("throughout a release nearly all streams begin where they can go on") {
  // Ten engines are replaced one at a time; the new one starts first.
  std::vector<BackendView> members;
  members.reserve(11);
  for (int number = 0; number < 10; ++number) {
    members.push_back(member("old" + std::to_string(number), "v1"));
  }
  for (int number = 0; number < 10; ++number) {
    members.push_back(member("new" + std::to_string(number), "v2"));
    for (int state = 0; state < 2; ++state) {
      const std::vector<BackendView> chosen = toBegin(members);
      for (const BackendView& each : chosen) {
        const auto others =
            std::count_if(members.begin(), members.end(), [&](const BackendView& other) {
              return other.listing->software == each.listing->software;
            });
        CHECK(others >= 2);
      }
      CHECK(chosen.size() >= members.size() - 2);
      if (state == 0) {
        members.erase(members.begin());
      }
    }
  }
}

}  // namespace fernmoor::gateway
