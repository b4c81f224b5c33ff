#include "table/table_messages.h"

#include <utility>

#include "table/row_codec.h"

namespace fernmoor {

proto::Envelope tableAnnouncement(TableVersion version) {
  proto::Envelope envelope;
  envelope.mutable_table()->mutable_announcement()->set_version(version.value());
  return envelope;
}

proto::Envelope tableVersionQuery(uint64_t query) {
  proto::Envelope envelope;
  envelope.mutable_table()->mutable_version_query()->set_query(query);
  return envelope;
}

proto::Envelope tableVersionReply(uint64_t query, TableVersion version) {
  proto::Envelope envelope;
  auto* reply = envelope.mutable_table()->mutable_version_reply();
  reply->set_query(query);
  reply->set_version(version.value());
  return envelope;
}

bool isTableAnswer(const proto::TableMessage& message) {
  return message.has_changes() || message.has_snapshot_page() || message.has_version_reply();
}

proto::TableChange changeToProto(const TableChange& change) {
  proto::TableChange message;
  message.set_version(change.version.value());
  message.set_change_id(change.changeId);
  for (const RowChange& rowChange : change.rows) {
    proto::TableRowChange* out = message.add_rows();
    out->set_service(rowChange.key.service.value());
    out->set_tenant(rowChange.key.tenant.value());
    if (rowChange.row) {
      *out->mutable_row() = rowToProto(*rowChange.row);
    }
  }
  return message;
}

Result<TableChange> changeFromProto(const proto::TableChange& message) {
  TableChange change{TableVersion(message.version()), message.change_id(), {}};
  for (const proto::TableRowChange& in : message.rows()) {
    RowChange rowChange{RowKey{ServiceId(in.service()), TenantId(in.tenant())}, std::nullopt};
    if (in.has_row()) {
      Result<Row> row = rowFromProto(in.row());
      if (!isOk(row)) {
        return errorOf(row);
      }
      rowChange.row = std::move(valueOf(row));
    }
    change.rows.push_back(std::move(rowChange));
  }
  return change;
}

proto::TableSnapshotPage makeSnapshotPage(const TableSnapshot& snapshot, bool fromStart,
                                          const RowKey& after, size_t maxBytes) {
  proto::TableSnapshotPage page;
  page.set_version(snapshot.version().value());
  page.set_first(fromStart);
  page.set_last(true);
  page.set_after_service(after.service.value());
  page.set_after_tenant(after.tenant.value());
  size_t bytes = 0;
  snapshot.visitFrom(after, [&](const Row& row) {
    if (!fromStart && row.key == after) {
      return true;
    }
    proto::TableRow message = rowToProto(row);
    const size_t rowBytes = message.ByteSizeLong();
    if (bytes > 0 && bytes + rowBytes > maxBytes) {
      page.set_last(false);
      return false;
    }
    bytes += rowBytes;
    *page.add_rows() = std::move(message);
    return true;
  });
  return page;
}

}  // namespace fernmoor
