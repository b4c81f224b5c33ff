/// @file
/// Tests of src/table/table_watcher.h.
#include "table/table_watcher.h"

#include <doctest/doctest.h>

#include "sim/fake_platform.h"
#include "sim/table_cluster.h"
#include "table/platform_table.h"
#include "table/row_codec.h"

namespace fernmoor {

namespace {

class OnlySelf : public MembershipView {
 public:
  Member self() const override {
    Member member;
    member.life.node = NodeId(1);
    return member;
  }
  std::vector<Member> members() const override { return {self()}; }
};

class NoSender : public MessageSender {
 public:
  void send(NodeId to, const proto::Envelope& envelope) override {}
};

/// A node alone with the platform.
struct Fixture {
  sim::VirtualClock clock;
  sim::FakePlatform platform{clock};
  OnlySelf members;
  NoSender sender;
  Knobs knobs;
  Table table;
  TableRole role{table, members, knobs, 1};
  TableWatcher watcher{platform, role, table, clock, sender, knobs, 1};

  Duration round() {
    role.onTick(clock.now(), sender);
    const Duration pause = watcher.runOnce();
    clock.advanceTo(clock.now() + pause);
    return pause;
  }
  void store(size_t row) {
    const Row stored = sim::exampleTableRow(row);
    const ObjectChange change{ObjectName(rowObjectName(stored.key)), {}, rowToJsonText(stored)};
    REQUIRE(isOk(platform.put(tableCollection(), change, ChangeId(std::to_string(row)))));
  }
};

}  // namespace

TEST_CASE("a watcher of an empty platform doesn't ask in a tight loop and takes the first change") {
  Fixture fixture;
  for (int round = 0; round < 5; ++round) {
    CHECK(fixture.round() > Duration(0));
  }
  fixture.store(1);
  fixture.round();
  CHECK(fixture.table.version() == TableVersion(1));
  fixture.round();
  CHECK(fixture.role.ready());
}

TEST_CASE("a watcher pauses longer after each failure, up to a bound, and recovers") {
  Fixture fixture;
  fixture.store(1);
  fixture.platform.setDown(true);
  Duration longest(0);
  for (int round = 0; round < 20; ++round) {
    longest = std::max(longest, fixture.round());
    REQUIRE(fixture.watcher.lastError());
  }
  CHECK(longest > fixture.knobs.platformRetryMinimum);
  CHECK(longest <= fixture.knobs.platformRetryMaximum);
  fixture.platform.setDown(false);
  fixture.round();
  CHECK_FALSE(fixture.watcher.lastError());
  CHECK(fixture.table.version() == TableVersion(1));
}

TEST_CASE("a watcher behind the platform's history takes the snapshot") {
  Fixture fixture;
  fixture.store(1);
  fixture.round();
  fixture.platform.setHistoryLimit(2);
  for (size_t row = 2; row < 8; ++row) {
    fixture.store(row);
  }
  fixture.round();
  fixture.round();
  CHECK(fixture.table.version() == TableVersion(7));
  CHECK(fixture.table.current()->size() == 7);
}

TEST_CASE("a platform that went back does not take the node's table back") {
  Fixture fixture;
  fixture.store(1);
  fixture.store(2);
  fixture.round();
  fixture.role.onPlatformSnapshot(CollectionSnapshot{CollectionRevision(1), {}},
                                  fixture.clock.now(), fixture.sender);
  CHECK(fixture.table.version() == TableVersion(2));
  CHECK(fixture.role.counters().platformBehind == 1);
}

}  // namespace fernmoor
