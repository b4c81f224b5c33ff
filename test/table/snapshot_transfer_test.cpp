/// @file
/// Tests of src/table/snapshot_transfer.h.
#include "table/snapshot_transfer.h"

#include <doctest/doctest.h>

#include "sim/table_cluster.h"

namespace fernmoor {

namespace {

Table::Snapshot snapshotOf(uint64_t version, size_t rows) {
  std::vector<Row> all;
  for (size_t index = 0; index < rows; ++index) {
    all.push_back(sim::exampleTableRow(index));
  }
  return std::make_shared<const TableSnapshot>(TableVersion(version), std::move(all));
}

Knobs smallPages() {
  Knobs knobs;
  knobs.tablePageBytes = 512;
  return knobs;
}

}  // namespace

TEST_CASE("a snapshot arrives whole though the sender moves on meanwhile") {
  SnapshotArchive archive(smallPages());
  SnapshotReceipt receipt;
  const Table::Snapshot old = snapshotOf(5, 100);
  const Table::Snapshot current = snapshotOf(6, 101);
  std::optional<Table::Snapshot> whole;
  proto::TableSnapshotPage page = archive.answer(receipt.nextRequest(), old, Time());
  for (int step = 0; step < 100 && !whole; ++step) {
    const auto taken = receipt.take(page);
    REQUIRE(isOk(taken));
    CHECK_FALSE(valueOf(receipt.take(page)));
    whole = valueOf(taken);
    page = archive.answer(receipt.nextRequest(), current, Time());
  }
  REQUIRE(whole);
  CHECK((*whole)->version() == TableVersion(5));
  CHECK((*whole)->size() == 100);
}

TEST_CASE("a transfer of a version that is no longer kept starts anew with the one in force") {
  SnapshotArchive archive(smallPages());
  SnapshotReceipt receipt;
  REQUIRE(isOk(receipt.take(archive.answer(receipt.nextRequest(), snapshotOf(5, 100), Time()))));
  archive.expire(Time(std::chrono::hours(1)));
  CHECK(archive.size() == 0);
  const auto page = archive.answer(receipt.nextRequest(), snapshotOf(6, 100), Time());
  CHECK(page.first());
  REQUIRE(isOk(receipt.take(page)));
  CHECK(receipt.version() == TableVersion(6));
}

TEST_CASE(
    "a request for any version is answered by the one in force, even if version 0 was asked") {
  SnapshotArchive archive(smallPages());
  const proto::TableSnapshotRequest any = SnapshotReceipt().nextRequest();
  CHECK(archive.answer(any, snapshotOf(0, 0), Time()).version() == 0);
  CHECK(archive.answer(any, snapshotOf(7, 3), Time()).version() == 7);
}

}  // namespace fernmoor
