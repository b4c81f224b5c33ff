#include "table/table.h"

#include <utility>

namespace fernmoor {

TableSnapshot::TableSnapshot(TableVersion version, std::vector<Row> rows)
    : version_(version), rows_(std::move(rows)) {}

std::vector<const Row*> TableSnapshot::rowsOfTenant(const TenantId& tenant) const {
  std::vector<const Row*> found;
  rows_.visitFrom(RowKey{ServiceId(), tenant}, [&](const Row& row) {
    if (row.key.tenant != tenant) {
      return false;
    }
    found.push_back(&row);
    return true;
  });
  return found;
}

void TableSnapshot::visitFrom(const RowKey& from, const PersistentRows::Visitor& visitor) const {
  rows_.visitFrom(from, visitor);
}

std::vector<Row> TableSnapshot::rows() const {
  std::vector<Row> all;
  all.reserve(size());
  rows_.visitFrom(RowKey(), [&](const Row& row) {
    all.push_back(row);
    return true;
  });
  return all;
}

std::shared_ptr<const TableSnapshot> TableSnapshot::apply(const TableChange& change) const {
  auto next = std::make_shared<TableSnapshot>(*this);
  next->version_ = change.version;
  for (const RowChange& rowChange : change.rows) {
    if (!rowChange.row) {
      next->rows_ = next->rows_.without(rowChange.key);
      continue;
    }
    Row row = *rowChange.row;
    row.rowVersion = change.version.value();
    next->rows_ = next->rows_.with(std::move(row));
  }
  return next;
}

Table::Snapshot Table::current() const {
  return std::atomic_load(&current_);
}

bool Table::apply(const TableChange& change) {
  Snapshot expected = current();
  if (change.version.value() != expected->version().value() + 1) {
    return false;
  }
  // Another writer may only have brought a newer version: then the change is old.
  return std::atomic_compare_exchange_strong(&current_, &expected, expected->apply(change));
}

bool Table::replace(const Snapshot& snapshot) {
  Snapshot expected = current();
  while (expected->version() < snapshot->version()) {
    if (std::atomic_compare_exchange_weak(&current_, &expected, snapshot)) {
      return true;
    }
  }
  return false;
}

}  // namespace fernmoor
