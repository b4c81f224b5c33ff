/// @file
/// Tests of src/membership/member_table.h: which statement counts.
#include "membership/member_table.h"

#include <doctest/doctest.h>

namespace fernmoor {
namespace {

const NodeLife kSelf{NodeId(1), Incarnation(10)};
const NodeLife kOther{NodeId(2), Incarnation(10)};
const Time kStart(std::chrono::hours(1));

MemberStatement statementOf(NodeLife life, uint32_t sequence, MemberHealth health) {
  MemberStatement statement;
  statement.status.life = life;
  statement.status.sequence = sequence;
  statement.status.health = health;
  return statement;
}

MemberStatement introductionOf(NodeLife life) {
  MemberStatement statement = statementOf(life, 0, MemberHealth::kAlive);
  statement.identity = MemberIdentity{ZoneId("a"), RegionId("r"), {"10.0.0.2", 1}, {}};
  return statement;
}

struct Fixture {
  Fixture() : table(MemberStatus{kSelf, 0, MemberHealth::kAlive, false, {}}, {}, knobs) {
    REQUIRE(table.merge(introductionOf(kOther), kStart) == MergeOutcome::kNewLife);
  }
  MergeOutcome merge(uint32_t sequence, MemberHealth health) {
    return table.merge(statementOf(kOther, sequence, health), kStart);
  }
  MemberHealth health() const { return table.find(kOther.node)->status.health; }

  Knobs knobs;
  MemberTable table;
};

}  // namespace

TEST_CASE("a greater sequence counts, and for the same one the worse health") {
  Fixture fixture;
  CHECK(fixture.merge(0, MemberHealth::kSuspect) == MergeOutcome::kChanged);
  CHECK(fixture.merge(0, MemberHealth::kAlive) == MergeOutcome::kStale);
  CHECK(fixture.health() == MemberHealth::kSuspect);
  CHECK(fixture.merge(1, MemberHealth::kAlive) == MergeOutcome::kChanged);
  CHECK(fixture.merge(0, MemberHealth::kSuspect) == MergeOutcome::kStale);
  CHECK(fixture.health() == MemberHealth::kAlive);
}

TEST_CASE("hearsay of a death makes a member suspect at most, however often it comes") {
  Fixture fixture;
  CHECK(fixture.merge(0, MemberHealth::kDead) == MergeOutcome::kChanged);
  CHECK(fixture.health() == MemberHealth::kSuspect);
  CHECK(fixture.merge(0, MemberHealth::kDead) == MergeOutcome::kStale);
  CHECK(fixture.merge(3, MemberHealth::kDead) == MergeOutcome::kChanged);
  CHECK(fixture.health() == MemberHealth::kSuspect);
  CHECK(fixture.merge(3, MemberHealth::kLeft) == MergeOutcome::kChanged);
  CHECK(fixture.health() == MemberHealth::kLeft);
}

TEST_CASE("a suspect is asked once half its time is over, then dies, and may refute even that") {
  Fixture fixture;
  const Duration timeout = fixture.knobs.membershipSuspicionTimeout;
  REQUIRE(fixture.table.suspect(kOther, kStart));
  CHECK(fixture.table.expire(kStart + timeout / 4).toAskAgain.empty());
  CHECK(fixture.table.expire(kStart + timeout / 2).toAskAgain.size() == 1);
  CHECK(fixture.table.expire(kStart + timeout / 2).toAskAgain.empty());
  CHECK(fixture.table.expire(kStart + timeout).deaths == 1);
  CHECK(fixture.table.alivePeers().empty());
  CHECK(fixture.merge(0, MemberHealth::kAlive) == MergeOutcome::kConflict);
  CHECK(fixture.merge(1, MemberHealth::kAlive) == MergeOutcome::kChanged);
  CHECK(fixture.table.alivePeers().size() == 1);
}

TEST_CASE("a pause of this process gives suspects their time anew") {
  Fixture fixture;
  const Duration timeout = fixture.knobs.membershipSuspicionTimeout;
  REQUIRE(fixture.table.suspect(kOther, kStart));
  fixture.table.extendSuspicions(std::chrono::minutes(1));
  CHECK(fixture.table.expire(kStart + timeout * 2).deaths == 0);
  CHECK(fixture.table.expire(kStart + timeout + std::chrono::minutes(1)).deaths == 1);
}

TEST_CASE("a dead member is forgotten after its time") {
  Fixture fixture;
  const Duration timeout = fixture.knobs.membershipSuspicionTimeout;
  REQUIRE(fixture.table.suspect(kOther, kStart));
  CHECK(fixture.table.expire(kStart + timeout).deaths == 1);
  fixture.table.expire(kStart + timeout + fixture.knobs.membershipDeadRetention - Duration(1));
  CHECK(fixture.table.find(kOther.node) != nullptr);
  fixture.table.expire(kStart + timeout + fixture.knobs.membershipDeadRetention);
  CHECK(fixture.table.find(kOther.node) == nullptr);
}

TEST_CASE("accusations are refuted with a greater sequence; a greater incarnation supersedes") {
  Fixture fixture;
  CHECK(fixture.table.merge(statementOf(kSelf, 4, MemberHealth::kDead), kStart) ==
        MergeOutcome::kRefuted);
  CHECK(fixture.table.self().status.sequence == 5);
  CHECK(fixture.table.self().status.health == MemberHealth::kAlive);
  CHECK(fixture.table.merge(statementOf(kSelf, 4, MemberHealth::kDead), kStart) ==
        MergeOutcome::kStale);
  const NodeLife later{kSelf.node, Incarnation(11)};
  CHECK(fixture.table.merge(statementOf(later, 0, MemberHealth::kAlive), kStart) ==
        MergeOutcome::kSuperseded);
}

TEST_CASE("a life enters only with its identity, and a former life never comes back") {
  Fixture fixture;
  const NodeLife stranger{NodeId(3), Incarnation(1)};
  const NodeLife later{kOther.node, Incarnation(11)};
  CHECK(fixture.table.merge(statementOf(stranger, 0, MemberHealth::kAlive), kStart) ==
        MergeOutcome::kIdentityMissing);
  CHECK(fixture.table.merge(statementOf(stranger, 0, MemberHealth::kDead), kStart) ==
        MergeOutcome::kStale);
  CHECK(fixture.table.merge(statementOf(later, 0, MemberHealth::kAlive), kStart) ==
        MergeOutcome::kIdentityMissing);
  CHECK(fixture.table.merge(introductionOf(later), kStart) == MergeOutcome::kNewLife);
  CHECK(fixture.merge(9, MemberHealth::kAlive) == MergeOutcome::kStale);
  CHECK(fixture.table.find(kOther.node)->status.life == later);
}

TEST_CASE("a table version belongs to one life and never falls in it") {
  Fixture fixture;
  CHECK(fixture.table.raiseTableVersion(kOther, TableVersion(5)));
  CHECK_FALSE(fixture.table.raiseTableVersion(kOther, TableVersion(4)));
  fixture.merge(1, MemberHealth::kAlive);
  CHECK(fixture.table.find(kOther.node)->status.tableVersion == TableVersion(5));
  const NodeLife later{kOther.node, Incarnation(11)};
  CHECK_FALSE(fixture.table.raiseTableVersion(later, TableVersion(6)));
  REQUIRE(fixture.table.merge(introductionOf(later), kStart) == MergeOutcome::kNewLife);
  CHECK(fixture.table.find(kOther.node)->status.tableVersion == TableVersion(0));
}

TEST_CASE("the number of members is bounded; the dead make room, the live do not") {
  Knobs knobs;
  knobs.membershipMaximumMembers = 8;
  MemberTable table(MemberStatus{kSelf, 0, MemberHealth::kAlive, false, {}}, {}, knobs);
  for (uint32_t node = 2; node <= 8; ++node) {
    REQUIRE(table.merge(introductionOf({NodeId(node), Incarnation(1)}), kStart) ==
            MergeOutcome::kNewLife);
  }
  const MemberStatement late = introductionOf({NodeId(9), Incarnation(1)});
  CHECK(table.merge(late, kStart) == MergeOutcome::kStale);
  table.merge(statementOf({NodeId(5), Incarnation(1)}, 0, MemberHealth::kLeft), kStart);
  CHECK(table.merge(late, kStart) == MergeOutcome::kNewLife);
  CHECK(table.find(NodeId(5)) == nullptr);
}

}  // namespace fernmoor
