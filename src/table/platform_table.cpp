#include "table/platform_table.h"

#include <utility>

#include "table/row_codec.h"

namespace fernmoor {

namespace {

Row disabledRow(const RowKey& key) {
  Row row;
  row.key = key;
  row.model = ModelId("unreadable");
  row.enabled = false;
  return row;
}

Result<Row> readStoredRow(const RowKey& key, const std::string& valueJson) {
  Result<Row> row = rowFromJsonText(valueJson);
  if (isOk(row) && !(valueOf(row).key == key)) {
    return Error{ErrorKind::kInvalidRequest,
                 "the object " + rowObjectName(key) + " holds the row " +
                     describeRowKey(valueOf(row).key) + "; store it under its own name.",
                 RunState::kNotRun, std::nullopt};
  }
  return row;
}

Row readRowOrDisable(const RowKey& key, const std::string& valueJson,
                     std::vector<Error>& problems) {
  Result<Row> row = readStoredRow(key, valueJson);
  if (isOk(row)) {
    return std::move(valueOf(row));
  }
  problems.push_back(errorOf(row));
  return disabledRow(key);
}

/// @return the key, or none where the object can't be a row.
std::optional<RowKey> readKey(const ObjectName& name, std::vector<Error>& problems) {
  Result<RowKey> key = rowKeyFromObjectName(name.value());
  if (!isOk(key)) {
    problems.push_back(errorOf(key));
    return std::nullopt;
  }
  return valueOf(key);
}

void appendChange(const WatchedChange& watched, PlatformChanges& read) {
  const TableVersion version(watched.version.value());
  if (read.changes.empty() || read.changes.back().version != version) {
    read.changes.push_back(TableChange{version, watched.changeId.value(), {}});
  }
  const std::optional<RowKey> key = readKey(watched.name, read.problems);
  if (!key) {
    return;
  }
  RowChange change{*key, std::nullopt};
  if (watched.valueJson) {
    change.row = readRowOrDisable(*key, *watched.valueJson, read.problems);
  }
  read.changes.back().rows.push_back(std::move(change));
}

}  // namespace

const CollectionName& tableCollection() {
  static const CollectionName kCollection("table");
  return kCollection;
}

PlatformTable readPlatformTable(const CollectionSnapshot& collection) {
  PlatformTable table;
  std::vector<Row> rows;
  rows.reserve(collection.objects.size());
  for (const PlatformObject& object : collection.objects) {
    const std::optional<RowKey> key = readKey(object.name, table.problems);
    if (!key) {
      continue;
    }
    rows.push_back(readRowOrDisable(*key, object.valueJson, table.problems));
    rows.back().rowVersion = object.version.value();
  }
  table.snapshot = std::make_shared<const TableSnapshot>(TableVersion(collection.revision.value()),
                                                         std::move(rows));
  return table;
}

PlatformChanges readPlatformChanges(const WatchBatch& batch) {
  PlatformChanges read;
  for (const WatchedChange& watched : batch.changes) {
    appendChange(watched, read);
  }
  return read;
}

}  // namespace fernmoor
