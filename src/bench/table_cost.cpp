#include "bench/table_cost.h"

#include <cstdio>

#include "bench/resource_usage.h"
#include "common/random.h"
#include "sim/table_cluster.h"
#include "table/snapshot_transfer.h"
#include "table/table_edit.h"

namespace fernmoor::bench {

namespace {

constexpr size_t kLookups = 200000;
constexpr size_t kChanges = 2000;
constexpr size_t kHeldSnapshots = 100;
constexpr size_t kEditChecks = 5;

std::vector<Row> makeRows(size_t count) {
  std::vector<Row> rows;
  rows.reserve(count);
  for (size_t index = 0; index < count; ++index) {
    rows.push_back(sim::exampleTableRow(index));
  }
  return rows;
}

TableChange changeOf(const Table& table, size_t row, int64_t priority) {
  Row changed = sim::exampleTableRow(row);
  changed.priority = priority;
  const TableVersion next(table.version().value() + 1);
  return TableChange{next, "change", {RowChange{changed.key, changed}}};
}

void measureBuild(TableCost& cost, Table& table) {
  std::vector<Row> rows = makeRows(cost.rows);
  const double begin = threadCpuSeconds();
  auto snapshot = std::make_shared<const TableSnapshot>(TableVersion(1), std::move(rows));
  cost.buildSeconds = threadCpuSeconds() - begin;
  table.replace(std::move(snapshot));
}

void measureFind(TableCost& cost, const Table& table) {
  Random random(1);
  std::vector<RowKey> keys;
  for (size_t index = 0; index < kLookups; ++index) {
    keys.push_back(sim::exampleTableRow(random.below(cost.rows)).key);
  }
  size_t found = 0;
  const double begin = threadCpuSeconds();
  for (const RowKey& key : keys) {
    found += table.current()->find(key) != nullptr ? 1 : 0;
  }
  cost.findNanoseconds = (threadCpuSeconds() - begin) * 1e9 / static_cast<double>(found);
}

void measureApply(TableCost& cost, Table& table) {
  Random random(2);
  const double begin = threadCpuSeconds();
  for (size_t index = 0; index < kChanges; ++index) {
    table.apply(changeOf(table, random.below(cost.rows), static_cast<int64_t>(index % 10)));
  }
  cost.applyMicroseconds = (threadCpuSeconds() - begin) * 1e6 / static_cast<double>(kChanges);
  std::vector<Table::Snapshot> held;
  held.reserve(kHeldSnapshots);
  const int64_t bytesBefore = heapBytes();
  for (size_t index = 0; index < kHeldSnapshots; ++index) {
    held.push_back(table.current());
    table.apply(changeOf(table, random.below(cost.rows), static_cast<int64_t>(index % 10)));
  }
  cost.heapBytesPerChange =
      static_cast<double>(heapBytes() - bytesBefore) / static_cast<double>(kHeldSnapshots);
}

void measureEditCheck(TableCost& cost, const Table& table) {
  TableEdit edit;
  edit.changeId = ChangeId("edit");
  Row row = sim::exampleTableRow(0);
  edit.rows.push_back(RowEdit{row.key, row, row});
  const double begin = threadCpuSeconds();
  for (size_t index = 0; index < kEditChecks; ++index) {
    checkEditedTable(*table.current(), edit, Knobs());
  }
  cost.editCheckSeconds = (threadCpuSeconds() - begin) / static_cast<double>(kEditChecks);
}

void measureTransfer(TableCost& cost, const Table& table) {
  SnapshotArchive archive{Knobs()};
  SnapshotReceipt receipt;
  const double begin = threadCpuSeconds();
  bool whole = false;
  while (!whole) {
    const proto::TableSnapshotPage page =
        archive.answer(receipt.nextRequest(), table.current(), Time());
    const std::string encoded = page.SerializeAsString();
    cost.transferBytes += static_cast<double>(encoded.size());
    proto::TableSnapshotPage decoded;
    decoded.ParseFromString(encoded);
    const auto taken = receipt.take(decoded);
    whole = !isOk(taken) || valueOf(taken).has_value();
  }
  cost.transferSeconds = threadCpuSeconds() - begin;
}

}  // namespace

TableCost measureTableCost(size_t rows) {
  TableCost cost;
  cost.rows = rows;
  const int64_t bytesBefore = heapBytes();
  Table table;
  measureBuild(cost, table);
  cost.heapBytes = static_cast<double>(heapBytes() - bytesBefore);
  measureFind(cost, table);
  measureApply(cost, table);
  measureEditCheck(cost, table);
  measureTransfer(cost, table);
  return cost;
}

std::string toMarkdown(const std::vector<TableCost>& costs) {
  std::string text =
      "| rows | memory, MB | build, ms | lookup, ns | apply one change, us | kept by a held "
      "snapshot, KB a change | edit check, ms | transfer, ms | transfer, MB |\n"
      "|---|---|---|---|---|---|---|---|---|\n";
  for (const TableCost& cost : costs) {
    char line[256];
    std::snprintf(
        line, sizeof(line), "| %zu | %.2f | %.1f | %.0f | %.1f | %.2f | %.1f | %.1f | %.2f |\n",
        cost.rows, cost.heapBytes / 1e6, cost.buildSeconds * 1e3, cost.findNanoseconds,
        cost.applyMicroseconds, cost.heapBytesPerChange / 1e3, cost.editCheckSeconds * 1e3,
        cost.transferSeconds * 1e3, cost.transferBytes / 1e6);
    text += line;
  }
  return text;
}

}  // namespace fernmoor::bench
