#include "table/snapshot_transfer.h"

#include <algorithm>
#include <utility>

#include "table/row_codec.h"
#include "table/table_messages.h"

namespace fernmoor {

proto::TableSnapshotPage SnapshotArchive::answer(const proto::TableSnapshotRequest& request,
                                                 const Table::Snapshot& current, Time now) {
  const TableVersion wanted(request.version());
  const bool any = wanted == TableVersion() || wanted == current->version();
  Table::Snapshot snapshot = any ? current : find(wanted);
  const bool fromStart = request.from_start() || snapshot == nullptr;
  if (snapshot == nullptr) {
    snapshot = current;
  }
  keep(snapshot, now);
  const RowKey after =
      fromStart ? RowKey()
                : RowKey{ServiceId(request.after_service()), TenantId(request.after_tenant())};
  return makeSnapshotPage(*snapshot, fromStart, after, static_cast<size_t>(knobs_.tablePageBytes));
}

Table::Snapshot SnapshotArchive::find(TableVersion version) const {
  for (const Kept& kept : kept_) {
    if (kept.snapshot->version() == version) {
      return kept.snapshot;
    }
  }
  return nullptr;
}

void SnapshotArchive::keep(const Table::Snapshot& snapshot, Time now) {
  const auto same = [&](const Kept& kept) {
    return kept.snapshot->version() == snapshot->version();
  };
  kept_.erase(std::remove_if(kept_.begin(), kept_.end(), same), kept_.end());
  kept_.push_back({snapshot, now});
  if (kept_.size() > static_cast<size_t>(knobs_.tableTransfersKept)) {
    kept_.erase(kept_.begin());
  }
}

void SnapshotArchive::expire(Time now) {
  const auto old = [&](const Kept& kept) { return now - kept.lastUse > knobs_.tableTransferKept; };
  kept_.erase(std::remove_if(kept_.begin(), kept_.end(), old), kept_.end());
}

bool SnapshotReceipt::isNext(const proto::TableSnapshotPage& page) const {
  return TableVersion(page.version()) == version_ && !page.first() &&
         lastKey_ == RowKey{ServiceId(page.after_service()), TenantId(page.after_tenant())};
}

Result<std::optional<Table::Snapshot>> SnapshotReceipt::take(const proto::TableSnapshotPage& page) {
  if (page.first() && TableVersion(page.version()) > version_) {
    reset();
    version_ = TableVersion(page.version());
  } else if (!isNext(page)) {
    return std::optional<Table::Snapshot>();
  }
  for (const proto::TableRow& message : page.rows()) {
    Result<Row> row = rowFromProto(message);
    if (!isOk(row)) {
      reset();
      return errorOf(row);
    }
    lastKey_ = valueOf(row).key;
    rows_.push_back(std::move(valueOf(row)));
  }
  if (!page.last()) {
    return std::optional<Table::Snapshot>();
  }
  const auto whole = std::make_shared<const TableSnapshot>(version_, std::move(rows_));
  reset();
  return std::optional<Table::Snapshot>(whole);
}

proto::TableSnapshotRequest SnapshotReceipt::nextRequest() const {
  proto::TableSnapshotRequest request;
  request.set_version(version_.value());
  request.set_from_start(version_ == TableVersion() || rows_.empty());
  request.set_after_service(lastKey_.service.value());
  request.set_after_tenant(lastKey_.tenant.value());
  return request;
}

}  // namespace fernmoor
