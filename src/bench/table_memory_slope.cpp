/// @file
/// Cost of holding the table and of putting a change in force, by rows.
#include <memory>

#include "bench/resource_usage.h"
#include "bench/slopes.h"
#include "bench/target_sizes.h"
#include "sim/table_cluster.h"
#include "table/table.h"

namespace fernmoor::bench {

namespace {

std::vector<Row> exampleRows(size_t count) {
  std::vector<Row> rows;
  rows.reserve(count);
  for (size_t index = 0; index < count; ++index) {
    rows.push_back(sim::exampleTableRow(index));
  }
  return rows;
}

double tableBytes(size_t count) {
  std::vector<Row> rows = exampleRows(count);
  const int64_t before = heapBytes();
  const auto snapshot = std::make_unique<TableSnapshot>(TableVersion(1), rows);
  return static_cast<double>(heapBytes() - before);
}

double secondsPerChange(size_t count) {
  auto snapshot = std::make_shared<const TableSnapshot>(TableVersion(1), exampleRows(count));
  size_t index = 0;
  return secondsPerCall([&] {
    Row row = sim::exampleTableRow(index++ * 7919 % count);
    TableChange change;
    change.version = TableVersion(snapshot->version().value() + 1);
    change.rows.push_back(RowChange{row.key, row});
    snapshot = snapshot->apply(change);
  });
}

double secondsPerLookup(size_t count) {
  const TableSnapshot snapshot(TableVersion(1), exampleRows(count));
  std::vector<RowKey> keys;
  for (size_t index = 0; index < 1000; ++index) {
    keys.push_back(sim::exampleTableRow(index * 7919 % count).key);
  }
  size_t next = 0;
  return secondsPerCall([&] { snapshot.find(keys[next++ % keys.size()]); });
}

}  // namespace

std::vector<Slope> measureTableMemory() {
  Slope memory{"table-memory",
               "heap of one table in force",
               "rows",
               "bytes",
               "TableSnapshot (src/table/persistent_rows.cpp)",
               {},
               target::kTenants};
  Slope change = memory;
  change.name = "table-change-time";
  change.what = "processor time of putting a change of one row in force";
  change.costUnit = "us";
  Slope lookup = memory;
  lookup.name = "table-lookup-time";
  lookup.what = "processor time of finding a row";
  lookup.costUnit = "us";
  for (const size_t rows : {1000U, 5000U, 10000U, 20000U, 35000U}) {
    const auto size = static_cast<double>(rows);
    memory.points.push_back(Point{size, tableBytes(rows)});
    change.points.push_back(Point{size, secondsPerChange(rows) * 1e6});
    lookup.points.push_back(Point{size, secondsPerLookup(rows) * 1e6});
  }
  return {memory, change, lookup};
}

}  // namespace fernmoor::bench
