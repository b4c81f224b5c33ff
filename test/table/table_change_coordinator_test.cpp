/// @file
/// Tests of src/table/table_change_coordinator.h on the simulated network.
#include "table/table_change_coordinator.h"

#include <doctest/doctest.h>

#include "sim/table_cluster.h"
#include "table/platform_table.h"
#include "table/row_codec.h"

namespace fernmoor::sim {

namespace {

constexpr Duration kLimit = std::chrono::seconds(20);
const ZoneId kFirstZone("zone-1");

/// A cluster with a table of ten rows in force and the machines listed.
struct Fixture {
  Fixture() : cluster(settings()) {
    std::vector<Row> rows;
    for (size_t index = 0; index < 10; ++index) {
      rows.push_back(exampleTableRow(index));
    }
    first = cluster.store(rows);
    REQUIRE(cluster.runUntilInForce(first, 1.0, kLimit));
    listMachines();
  }
  static TableClusterSettings settings() {
    TableClusterSettings settings;
    settings.nodes = 9;
    return settings;
  }
  void listMachines() {
    std::vector<Machine> machines;
    for (const auto& node : cluster.cluster().nodes()) {
      if (node->isRunning()) {
        Machine machine;
        machine.node = node->placement().node;
        machines.push_back(machine);
      }
    }
    cluster.platform().setMachines(machines);
  }
  TableChangeCoordinator coordinatorAt(uint32_t node) {
    const NodeId id(node);
    return TableChangeCoordinator(cluster.platform(), *cluster.table(id), *cluster.role(id),
                                  cluster.membershipOf(id), cluster.cluster().clock(),
                                  cluster.knobs(), [this](Duration wait) { cluster.run(wait); });
  }
  TableEdit editOf(size_t row, int64_t priority, const std::string& changeId) {
    const Row base = *cluster.table(NodeId(1))->current()->find(exampleTableRow(row).key);
    Row mine = base;
    mine.priority = priority;
    return TableEdit{ChangeId(changeId),
                     cluster.table(NodeId(1))->version(),
                     {RowEdit{base.key, mine, base}},
                     std::nullopt};
  }
  EditReport change(uint32_t node, const TableEdit& edit) {
    Result<EditReport> report = coordinatorAt(node).change(edit);
    if (!isOk(report)) {
      FAIL(errorOf(report).message);
    }
    return valueOf(report);
  }
  Error refusal(uint32_t node, const TableEdit& edit) {
    const Result<EditReport> report = coordinatorAt(node).change(edit);
    REQUIRE_FALSE(isOk(report));
    return errorOf(report);
  }

  TableCluster cluster;
  TableVersion first;
};

}  // namespace

TEST_CASE("an accepted change is in force on every node") {
  Fixture fixture;
  const EditReport report = fixture.change(1, fixture.editOf(2, 1, "c1"));
  CHECK((report.standing == EditStanding::kAccepted));
  CHECK(fixture.cluster.nodesWith(report.version) == 9);
}

TEST_CASE("a lost or late answer is resolved and the change applied once") {
  Fixture fixture;
  fixture.cluster.platform().loseAnswers(1);
  const EditReport lost = fixture.change(1, fixture.editOf(2, 1, "c1"));
  CHECK(lost.version.value() == fixture.first.value() + 1);
  fixture.cluster.platform().delayChanges(1);
  const EditReport late = fixture.change(1, fixture.editOf(2, 2, "c2"));
  CHECK(late.version.value() == lost.version.value() + 1);
  const EditReport repeated = fixture.change(2, fixture.editOf(2, 2, "c2"));
  CHECK(repeated.version == late.version);
  CHECK((repeated.standing == EditStanding::kAccepted));
}

TEST_CASE("of two operators racing one is told both sides, also by a node that is behind") {
  Fixture fixture;
  const TableEdit mine = fixture.editOf(2, 1, "mine");
  const TableEdit theirs = fixture.editOf(2, 7, "theirs");
  fixture.cluster.cluster().network().isolateZone(kFirstZone);
  fixture.cluster.setPlatformCut(kFirstZone, true);
  CHECK((fixture.change(2, theirs).standing == EditStanding::kStored));
  CHECK(fixture.cluster.table(NodeId(1))->version() == fixture.first);
  const EditReport report = fixture.change(1, mine);
  CHECK((report.standing == EditStanding::kConflict));
  REQUIRE(report.conflicts.size() == 1);
  CHECK(report.conflicts[0].base->priority == 5);
  CHECK(report.conflicts[0].mine->priority == 1);
  CHECK(report.conflicts[0].theirs->priority == 7);
}

TEST_CASE("changes of different rows based on one version both pass") {
  Fixture fixture;
  const TableEdit one = fixture.editOf(2, 1, "one");
  const TableEdit other = fixture.editOf(3, 1, "other");
  CHECK((fixture.change(1, one).standing == EditStanding::kAccepted));
  CHECK((fixture.change(2, other).standing == EditStanding::kAccepted));
}

TEST_CASE("while a zone is cut off a change is stored, not accepted, and the nodes are named") {
  Fixture fixture;
  fixture.cluster.cluster().network().isolateZone(kFirstZone);
  fixture.cluster.setPlatformCut(kFirstZone, true);
  const EditReport report = fixture.change(2, fixture.editOf(2, 1, "c1"));
  CHECK((report.standing == EditStanding::kStored));
  CHECK(report.lacking == std::vector<NodeId>{NodeId(1), NodeId(4), NodeId(7)});
  fixture.cluster.cluster().network().healAll();
  fixture.cluster.setPlatformCut(kFirstZone, false);
  const auto healed = fixture.coordinatorAt(2).awaitAccepted(report.version);
  REQUIRE(isOk(healed));
  CHECK((valueOf(healed).standing == EditStanding::kAccepted));
}

TEST_CASE("a node that restarted into an older table after its report holds acceptance up") {
  TableClusterSettings settings;  // One node in each of three zones.
  TableCluster cluster(settings);
  const TableVersion old = cluster.store({exampleTableRow(0)});
  REQUIRE(cluster.runUntilInForce(old, 1.0, kLimit));
  cluster.setPlatformCut(ZoneId("zone-2"), true);
  cluster.setPlatformCut(ZoneId("zone-3"), true);
  SimulatedNetwork& network = cluster.cluster().network();
  const auto cut = [&](uint32_t a, uint32_t b) {
    network.cutNodes(NodeId(a), NodeId(b));
    network.cutNodes(NodeId(b), NodeId(a));
  };
  std::vector<Machine> machines(3);
  for (uint32_t index = 0; index < 3; ++index) {
    machines[index].node = NodeId(index + 1);
  }
  cluster.platform().setMachines(machines);
  network.isolateZone(ZoneId("zone-3"));
  const TableVersion version = cluster.store({exampleTableRow(1)});
  EventQueue& queue = cluster.cluster().queue();
  queue.scheduleAfter(std::chrono::seconds(1), [&] {
    // Node 2 has reported; it restarts where it meets only node 3, which is behind.
    network.healAll();
    cut(1, 2);
    cut(1, 3);
    cluster.cluster().node(NodeId(2)).start();
  });
  queue.scheduleAfter(std::chrono::seconds(3), [&] {
    CHECK(cluster.role(NodeId(2))->ready());
    CHECK(cluster.table(NodeId(2))->version() == old);
    network.healAll();
    cut(1, 2);
    cut(2, 3);
  });
  TableChangeCoordinator coordinator(cluster.platform(), *cluster.table(NodeId(1)),
                                     *cluster.role(NodeId(1)), cluster.membershipOf(NodeId(1)),
                                     cluster.cluster().clock(), cluster.knobs(),
                                     [&](Duration wait) { cluster.run(wait); });
  const auto report = coordinator.awaitAccepted(version);
  REQUIRE(isOk(report));
  CHECK(cluster.table(NodeId(3))->version() == version);
  CHECK(cluster.table(NodeId(2))->version() == old);
  CHECK((valueOf(report).standing == EditStanding::kStored));
  CHECK(valueOf(report).lacking == std::vector<NodeId>{NodeId(2)});
  network.healAll();
  const auto healed = coordinator.awaitAccepted(version);
  REQUIRE(isOk(healed));
  CHECK((valueOf(healed).standing == EditStanding::kAccepted));
  CHECK(cluster.nodesWith(version) == 3);
}

TEST_CASE("a dead node holds acceptance up until the platform's list drops it") {
  Fixture fixture;
  fixture.cluster.cluster().node(NodeId(5)).crash();
  const EditReport report = fixture.change(2, fixture.editOf(2, 1, "c1"));
  CHECK((report.standing == EditStanding::kStored));
  CHECK(report.lacking == std::vector<NodeId>{NodeId(5)});
  fixture.listMachines();
  CHECK((fixture.change(2, fixture.editOf(2, 1, "c1")).standing == EditStanding::kAccepted));
}

TEST_CASE("with the platform down a change is refused as not stored, or its outcome is unknown") {
  Fixture fixture;
  fixture.cluster.platform().setDown(true);
  const Error away = fixture.refusal(1, fixture.editOf(2, 1, "c1"));
  CHECK((away.kind == ErrorKind::kUnavailable));
  CHECK((away.runState == RunState::kNotRun));
  CHECK(away.retryAfter.has_value());
}

TEST_CASE("a platform that dies with the answer leaves the outcome unknown until it is back") {
  Fixture fixture;
  const TableEdit edit = fixture.editOf(2, 1, "c1");
  fixture.cluster.platform().goDownAfterNextChange();
  const Error unknown = fixture.refusal(1, edit);
  CHECK((unknown.kind == ErrorKind::kOutcomeUnknown));
  CHECK((unknown.runState == RunState::kUnknown));
  const auto unconfirmed = fixture.coordinatorAt(1).awaitAccepted(fixture.first);
  REQUIRE(isOk(unconfirmed));
  CHECK((valueOf(unconfirmed).standing == EditStanding::kStored));
  CHECK_FALSE(valueOf(unconfirmed).machineListRead);
  fixture.cluster.platform().setDown(false);
  const EditReport resolved = fixture.change(1, edit);
  CHECK((resolved.standing == EditStanding::kAccepted));
  CHECK(resolved.version.value() == fixture.first.value() + 1);
}

TEST_CASE("a change that fails the checks is not stored") {
  Fixture fixture;
  TableEdit foreign = fixture.editOf(2, 1, "c1");
  foreign.onlyTenant = TenantId("district-7");
  CHECK((fixture.refusal(1, foreign).kind == ErrorKind::kForbidden));
  CHECK((fixture.refusal(1, fixture.editOf(2, 99, "c2")).kind == ErrorKind::kInvalidRequest));
  TableEdit mixed = fixture.editOf(2, 1, "c3");
  mixed.rows[0].mine->backEnd = BackEndKind::kApplication;
  mixed.rows[0].mine->model = ModelId();
  mixed.rows[0].mine->operationPath = ServiceId("receipt");
  CHECK(fixture.refusal(1, mixed).message.find("another kind of back end") != std::string::npos);
  const auto stored = fixture.cluster.platform().list(tableCollection());
  REQUIRE(isOk(stored));
  CHECK(TableVersion(valueOf(stored).revision.value()) == fixture.first);
}

TEST_CASE("a row that was removed meanwhile is a conflict, not a new row") {
  Fixture fixture;
  TableEdit removal = fixture.editOf(2, 1, "remove");
  removal.rows[0].mine.reset();
  const TableEdit mine = fixture.editOf(2, 1, "mine");
  CHECK((fixture.change(1, removal).standing == EditStanding::kAccepted));
  const EditReport report = fixture.change(1, mine);
  CHECK((report.standing == EditStanding::kConflict));
  REQUIRE(report.conflicts.size() == 1);
  CHECK_FALSE(report.conflicts[0].theirs.has_value());
}

}  // namespace fernmoor::sim
