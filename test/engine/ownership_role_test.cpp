/// @file
/// Tests of src/engine/ownership_role.h.
#include "engine/ownership_role.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

class FixedMembers : public MembershipView {
 public:
  FixedMembers(uint32_t nodes, uint32_t zones) {
    for (uint32_t index = 0; index < nodes; ++index) {
      Member member;
      member.life.node = NodeId(index + 1);
      member.zone = ZoneId("zone-" + std::to_string(index % zones));
      all.push_back(member);
    }
  }
  Member self() const override { return all.front(); }
  std::vector<Member> members() const override { return all; }
  std::vector<Member> all;
};

class NoSender : public MessageSender {
 public:
  void send(NodeId to, const proto::Envelope& envelope) override {}
};

EngineAddress engineIn(const std::string& name, const std::string& zone) {
  return EngineAddress{EngineId(name), ZoneId(zone), {}, false};
}

std::vector<EngineAddress> manyEngines(int count) {
  std::vector<EngineAddress> engines;
  engines.reserve(static_cast<size_t>(count));
  for (int index = 0; index < count; ++index) {
    engines.push_back(engineIn("engine-" + std::to_string(index), "zone-1"));
  }
  return engines;
}

void tickAt(OwnershipRole& role, int64_t seconds) {
  NoSender sender;
  role.onTick(Time(std::chrono::seconds(seconds)), sender);
}

}  // namespace

TEST_CASE("each engine has an owner and a different second in its zone, in any input order") {
  FixedMembers members(30, 3);
  OwnershipRole role(members, Knobs{});
  role.setEngines(manyEngines(100));
  tickAt(role, 1);
  OwnershipRole other(members, Knobs{});
  tickAt(other, 1);
  other.setEngines(manyEngines(100));
  for (const EngineAddress& engine : manyEngines(100)) {
    const EngineOwners owners = role.ownersOf(engine.id);
    REQUIRE(owners.owner);
    REQUIRE(owners.second);
    CHECK(*owners.owner != *owners.second);
    CHECK(members.all[owners.owner->value() - 1].zone == ZoneId("zone-1"));
    CHECK(members.all[owners.second->value() - 1].zone == ZoneId("zone-1"));
    CHECK((owners == other.ownersOf(engine.id)));
  }
}

TEST_CASE("when an owner is suspected its second takes over and no other engine moves") {
  FixedMembers members(30, 3);
  OwnershipRole role(members, Knobs{});
  role.setEngines(manyEngines(100));
  tickAt(role, 1);
  const NodeId lost = *role.ownerOf(EngineId("engine-0"));
  std::vector<EngineOwners> former;
  for (const EngineAddress& engine : manyEngines(100)) {
    former.push_back(role.ownersOf(engine.id));
  }
  members.all[lost.value() - 1].state = MemberState::kSuspect;
  tickAt(role, 2);
  for (size_t index = 0; index < former.size(); ++index) {
    const auto owner = role.ownerOf(EngineId("engine-" + std::to_string(index)));
    CHECK(owner == (former[index].owner == lost ? former[index].second : former[index].owner));
  }
}

TEST_CASE("engines of a zone without live nodes get owners elsewhere; unknown engines have none") {
  FixedMembers members(2, 2);
  OwnershipRole role(members, Knobs{});
  role.setEngines({engineIn("far", "zone-9"), engineIn("near", "zone-0")});
  tickAt(role, 1);
  CHECK(role.ownerOf(EngineId("far")).has_value());
  CHECK(role.ownerOf(EngineId("near")) == NodeId(1));
  CHECK((role.dutyFor(EngineId("near")) == OwnershipDuty::kOwner));
  CHECK_FALSE(role.ownersOf(EngineId("near")).second.has_value());
  CHECK_FALSE(role.ownerOf(EngineId("unknown")).has_value());
  CHECK((role.dutyFor(EngineId("unknown")) == OwnershipDuty::kNone));
  const auto owned = role.enginesWithDuty(OwnershipDuty::kOwner);
  CHECK_FALSE(owned.empty());
}

}  // namespace fernmoor
