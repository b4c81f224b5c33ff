/// @file
/// Tests of src/claim/claim_key.h and src/claim/replica_group.h.
#include "claim/claim_key.h"

#include <doctest/doctest.h>

#include <set>

#include "claim/replica_group.h"

namespace fernmoor {

namespace {

Result<ClaimKey> parse(const std::string& text) {
  return parseClaimKey(TenantId("t"), ServiceId("s"), text);
}

std::vector<GroupMember> membersInZones(const std::vector<std::string>& zones) {
  std::vector<GroupMember> members;
  for (const std::string& zone : zones) {
    const auto number = static_cast<uint32_t>(members.size() + 1);
    members.push_back(GroupMember{NodeId(number), Incarnation(1), ZoneId(zone)});
  }
  return members;
}

}  // namespace

TEST_CASE("a key's birth is read from a UUID, a ULID and a decimal time") {
  const int64_t birth = 1645557742000000;
  CHECK(valueOf(parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F")).birthMicroseconds == birth);
  CHECK(valueOf(parse("1645557742-receipt-9")).birthMicroseconds == birth);
  CHECK(valueOf(parse("1645557742000-receipt-9")).birthMicroseconds == birth);
  CHECK(valueOf(parse("01ARYZ6S41TSV4RRFFQ69G5FAV")).birthMicroseconds == 1469918176385000);
  CHECK(valueOf(parse(mintClaimKeyText(birth, 5))).birthMicroseconds == birth);
}

TEST_CASE("a key without a birth is rejected as not run") {
  for (const char* text : {"", "receipt", "9b2e6c1e-8f0e-4a53-9d8e-0b1a2c3d4e5f", "12345-x",
                           "1645557742-", "1645557742x-9", "8ZZZZZZZZZZZZZZZZZZZZZZZZZ"}) {
    CAPTURE(text);
    const Result<ClaimKey> key = parse(text);
    REQUIRE_FALSE(isOk(key));
    CHECK(errorOf(key).kind == ErrorKind::kInvalidRequest);
    CHECK(errorOf(key).runState == RunState::kNotRun);
  }
  CHECK_FALSE(isOk(parse(std::string(200, '1'))));
  CHECK_FALSE(isOk(parse("1645557742-a\nb")));
}

TEST_CASE("a group spreads over zones as far as there are any") {
  const ClaimKey key = valueOf(parse("1645557742-a"));
  const auto three = membersInZones({"a", "a", "a", "b", "b", "c"});
  const std::vector<NodeId> group = replicaGroupFor(key, three, 3);
  std::set<ZoneId> zones;
  for (const NodeId node : group) {
    zones.insert(three[node.value() - 1].zone);
  }
  CHECK(zones.size() == 3);
  CHECK(replicaGroupFor(key, membersInZones({"a", "a", "b", "b"}), 3).size() == 3);
  CHECK(replicaGroupFor(key, membersInZones({"a", "b"}), 3).size() == 2);
  CHECK(replicaGroupFor(key, {}, 3).empty());
}

TEST_CASE("every majority intersects every set that recovery or sealing requires") {
  for (size_t size = 1; size <= 7; ++size) {
    CHECK(majorityOf(size) + intersectionOf(size) > size);
  }
}

}  // namespace fernmoor
