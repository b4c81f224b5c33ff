/// @file
/// Tests of src/table/table.h and src/table/persistent_rows.h.
#include "table/table.h"

#include <doctest/doctest.h>

#include <map>

#include "common/random.h"

namespace fernmoor {

namespace {

Row makeRow(uint64_t service, uint64_t tenant, int64_t priority = 5) {
  Row row;
  row.key =
      RowKey{ServiceId("s" + std::to_string(service)), TenantId("t" + std::to_string(tenant))};
  row.model = ModelId("m");
  row.priority = priority;
  return row;
}

TableChange setRow(uint64_t version, const Row& row) {
  return TableChange{TableVersion(version), "c", {RowChange{row.key, row}}};
}

using SortedPriorities = std::map<RowKey, int64_t, TenantThenService>;

void checkSame(const PersistentRows& tree, const SortedPriorities& expected) {
  CHECK(tree.size() == expected.size());
  auto next = expected.begin();
  tree.visitFrom(RowKey(), [&](const Row& row) {
    REQUIRE(next != expected.end());
    CHECK(row.key == next->first);
    CHECK(row.priority == next->second);
    CHECK(tree.find(row.key) == &row);
    ++next;
    return true;
  });
  CHECK(next == expected.end());
}

}  // namespace

TEST_CASE("the tree behaves as a sorted map under random changes, and old trees stay") {
  Random random(1);
  SortedPriorities expected;
  PersistentRows rows;
  PersistentRows former;
  SortedPriorities expectedFormer;
  for (int step = 0; step < 4000; ++step) {
    const Row row = makeRow(random.below(40), random.below(20), step);
    if (random.chance(0.4)) {
      rows = rows.without(row.key);
      expected.erase(row.key);
    } else {
      rows = rows.with(row);
      expected[row.key] = step;
    }
    if (step == 2000) {
      former = rows;
      expectedFormer = expected;
    }
  }
  checkSame(rows, expected);
  checkSame(former, expectedFormer);
}

TEST_CASE("a tree built at once equals one built row by row, the last of doubled keys counting") {
  std::vector<Row> all;
  for (uint64_t index = 0; index < 1000; ++index) {
    all.push_back(makeRow(index % 37, index % 11, static_cast<int64_t>(index)));
  }
  PersistentRows oneByOne;
  for (const Row& row : all) {
    oneByOne = oneByOne.with(row);
  }
  const PersistentRows atOnce(all);
  REQUIRE(atOnce.size() == oneByOne.size());
  atOnce.visitFrom(RowKey(), [&](const Row& row) {
    const Row* other = oneByOne.find(row.key);
    REQUIRE(other != nullptr);
    CHECK(other->priority == row.priority);
    return true;
  });
}

TEST_CASE("a tenant's rows are found together") {
  const TableSnapshot snapshot(TableVersion(3), {makeRow(2, 1), makeRow(1, 2), makeRow(1, 1)});
  const auto rows = snapshot.rowsOfTenant(TenantId("t1"));
  REQUIRE(rows.size() == 2);
  CHECK(rows[0]->key.service == ServiceId("s1"));
  CHECK(rows[1]->key.service == ServiceId("s2"));
  CHECK(snapshot.rowsOfTenant(TenantId("t")).empty());
  CHECK(snapshot.find(makeRow(9, 9).key) == nullptr);
}

TEST_CASE("versions apply in order and never go back") {
  Table table;
  CHECK_FALSE(table.apply(setRow(2, makeRow(1, 1))));
  CHECK(table.apply(setRow(1, makeRow(1, 1, 3))));
  CHECK_FALSE(table.apply(setRow(1, makeRow(1, 1, 4))));
  const Table::Snapshot held = table.current();
  CHECK(table.apply(TableChange{TableVersion(2), "c", {RowChange{makeRow(1, 1).key, {}}}}));
  CHECK(table.current()->size() == 0);
  REQUIRE(held->find(makeRow(1, 1).key) != nullptr);
  CHECK(held->find(makeRow(1, 1).key)->rowVersion == 1);
  CHECK_FALSE(table.replace(held));
  CHECK(table.replace(std::make_shared<const TableSnapshot>(TableVersion(9), std::vector<Row>{})));
  CHECK(table.version() == TableVersion(9));
}

}  // namespace fernmoor
