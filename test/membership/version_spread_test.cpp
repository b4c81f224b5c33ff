/// @file
/// Tests of src/membership/version_spread.h.
#include "membership/version_spread.h"

#include <doctest/doctest.h>

namespace fernmoor {
namespace {

const Time kNow(std::chrono::hours(1));
constexpr int64_t kRounds = 3;

MemberTable tableOf(uint32_t self, const std::vector<uint32_t>& others, const Knobs& knobs) {
  MemberStatus status;
  status.life = NodeLife{NodeId(self), Incarnation(1)};
  MemberTable table(status, {}, knobs);
  for (const uint32_t node : others) {
    MemberStatement statement;
    statement.status.life = NodeLife{NodeId(node), Incarnation(1)};
    statement.identity = MemberIdentity{};
    table.merge(statement, kNow);
  }
  return table;
}

}  // namespace

TEST_CASE("a report tells of all members that have the newest version, with gaps between ids") {
  const Knobs knobs;
  const std::vector<uint32_t> others = {3, 4, 5, 900, 70000};
  MemberTable table = tableOf(1, others, knobs);
  VersionSpread versions;
  versions.noteInForce(NodeId(1), TableVersion(6), kRounds);
  table.setSelfTableVersion(TableVersion(6));
  for (const uint32_t node : {3U, 4U, 70000U}) {
    table.raiseTableVersion({NodeId(node), Incarnation(1)}, TableVersion(6));
  }
  proto::VersionReport report;
  versions.encodeReport(table, report);

  MemberTable receiver = tableOf(5, {1, 3, 4, 900, 70000}, knobs);
  CHECK(versions.applyReport(report, receiver));
  CHECK(receiver.find(NodeId(1))->status.tableVersion == TableVersion(6));
  CHECK(receiver.find(NodeId(70000))->status.tableVersion == TableVersion(6));
  CHECK(receiver.find(NodeId(900))->status.tableVersion == TableVersion(0));
  CHECK_FALSE(versions.applyReport(report, receiver));

  SUBCASE("a receiver that lacks a member ignores it") {
    MemberTable lacking = tableOf(5, {1, 3, 4}, knobs);
    CHECK_FALSE(versions.applyReport(report, lacking));
    CHECK(lacking.find(NodeId(1))->status.tableVersion == TableVersion(0));
  }
  SUBCASE("a receiver that knows another life ignores it") {
    MemberTable other = tableOf(5, {1, 3, 4, 900, 70000}, knobs);
    MemberStatement restarted;
    restarted.status.life = NodeLife{NodeId(3), Incarnation(2)};
    restarted.identity = MemberIdentity{};
    other.merge(restarted, kNow);
    CHECK_FALSE(versions.applyReport(report, other));
  }
  SUBCASE("a run of absurd length is ignored") {
    report.set_runs(1, 4000000000U);
    CHECK_FALSE(versions.applyReport(report, receiver));
  }
}

TEST_CASE("the newest version never falls and keeps its first holder") {
  VersionSpread versions;
  versions.noteInForce(NodeId(4), TableVersion(6), kRounds);
  versions.noteInForce(NodeId(5), TableVersion(6), kRounds);
  versions.noteInForce(NodeId(6), TableVersion(2), kRounds);
  CHECK(versions.newest() == TableVersion(6));
  CHECK(versions.holder() == NodeId(4));
  for (int64_t round = 0; round < kRounds; ++round) {
    CHECK(versions.newsPending());
    versions.noteRound();
  }
  CHECK_FALSE(versions.newsPending());
}

}  // namespace fernmoor
