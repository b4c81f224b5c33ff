#include "node/operator_table.h"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <thread>

#include "http/json_text.h"
#include "table/row_codec.h"

namespace fernmoor {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int kStatusConflict = 409;
const CollectionName kTableCollection("table");

Error invalid(const std::string& message) {
  return Error{ErrorKind::kInvalidRequest, message, RunState::kNotRun, std::nullopt};
}

/// A change as it came in, before the rows are looked up.
struct WantedChange {
  RowKey key;
  Object::Ptr columns;  ///< Null: remove the row.
};

Result<WantedChange> readChange(const Object::Ptr& object) {
  if (object.isNull()) {
    return invalid("changes holds something that is no object; send {service, tenant, columns}.");
  }
  WantedChange change;
  change.key.service = ServiceId(stringMember(*object, "service"));
  change.key.tenant = TenantId(stringMember(*object, "tenant"));
  if (change.key.service.empty() || change.key.tenant.empty()) {
    return invalid("a change names no row; give service and tenant.");
  }
  change.columns = object->getObject("columns");
  if (change.columns.isNull() && !object->get("columns").isEmpty()) {
    return invalid("columns of " + describeRowKey(change.key) +
                   " is no object; give one, or null to remove the row.");
  }
  return change;
}

/// The row as the operator wants it: cells over the present row, or over the defaults of a new one.
Result<std::optional<Row>> wantedRow(const WantedChange& change, const Row* present) {
  if (change.columns.isNull()) {
    return std::optional<Row>();
  }
  Row base;
  base.key = change.key;
  Result<Row> edited = editRow(present == nullptr ? base : *present, *change.columns);
  if (!isOk(edited)) {
    return errorOf(edited);
  }
  return std::optional<Row>(valueOf(edited));
}

/// @return whether the row was removed after the operator looked; then the change must not bring it
///     back with the defaults of the cells that it leaves out.
Result<bool> removedSince(ObjectStoreClient& platform, TableVersion base, const RowKey& key) {
  const Result<WatchBatch> later =
      platform.watch(kTableCollection, CollectionRevision(base.value()), Duration{0});
  if (!isOk(later)) {
    return errorOf(later);
  }
  const std::string name = rowObjectName(key);
  const auto& changes = valueOf(later).changes;
  return valueOf(later).compacted ||
         std::any_of(changes.begin(), changes.end(),
                     [&](const WatchedChange& change) { return change.name.value() == name; });
}

Error removedConflict(const RowKey& key) {
  return Error{ErrorKind::kConflict,
               "somebody else removed or made the row of " + describeRowKey(key) +
                   " after the version that this change is based on; read the table again.",
               RunState::kNotRun, std::nullopt};
}

Result<TableEdit> readEdit(const Object& body, const TableSnapshot& table,
                           ObjectStoreClient& platform) {
  TableEdit edit;
  edit.changeId = ChangeId(stringMember(body, "change_id"));
  if (edit.changeId.empty()) {
    return invalid("change_id is missing; send a fresh unique one with each change.");
  }
  const bool hasBase = body.get("base_version").isNumeric();
  const auto base = static_cast<uint64_t>(integerMember(body, "base_version"));
  edit.baseVersion = hasBase ? TableVersion(base) : table.version();
  const Array::Ptr changes = body.getArray("changes");
  if (changes.isNull() || changes->size() == 0) {
    return invalid("changes is missing or empty; send at least one.");
  }
  for (unsigned i = 0; i < changes->size(); ++i) {
    const Result<WantedChange> change = readChange(changes->getObject(i));
    if (!isOk(change)) {
      return errorOf(change);
    }
    const Row* present = table.find(valueOf(change).key);
    if (present == nullptr && edit.baseVersion < table.version()) {
      const Result<bool> removed = removedSince(platform, edit.baseVersion, valueOf(change).key);
      if (!isOk(removed)) {
        return errorOf(removed);
      }
      if (valueOf(removed)) {
        return removedConflict(valueOf(change).key);
      }
    }
    const Result<std::optional<Row>> mine = wantedRow(valueOf(change), present);
    if (!isOk(mine)) {
      return errorOf(mine);
    }
    RowEdit rowEdit;
    rowEdit.key = valueOf(change).key;
    rowEdit.mine = valueOf(mine);
    // Where the row changed after the version that the operator saw, the version tells the race.
    if (present != nullptr) {
      rowEdit.base = *present;
    }
    edit.rows.push_back(std::move(rowEdit));
  }
  return edit;
}

Poco::Dynamic::Var rowOrNull(const std::optional<Row>& row) {
  return row ? Poco::Dynamic::Var(rowToJson(*row)) : Poco::Dynamic::Var();
}

OperatorReply conflictReply(const std::vector<RowConflict>& conflicts) {
  OperatorReply reply;
  reply.status = kStatusConflict;
  reply.body = new Object;
  reply.body->set("kind", toString(ErrorKind::kConflict));
  reply.body->set("message",
                  "somebody else changed the row first; look at both sides and send it again.");
  Array::Ptr list = new Array;
  for (const RowConflict& conflict : conflicts) {
    Object::Ptr entry = new Object;
    entry->set("service", conflict.key.service.value());
    entry->set("tenant", conflict.key.tenant.value());
    entry->set("mine", rowOrNull(conflict.mine));
    entry->set("theirs", rowOrNull(conflict.theirs));
    list->add(entry);
  }
  reply.body->set("conflicts", list);
  return reply;
}

OperatorReply standingReply(const EditReport& report) {
  OperatorReply reply;
  reply.body = new Object;
  const bool accepted = report.standing == EditStanding::kAccepted;
  reply.body->set("machine_list_read", report.machineListRead);
  reply.body->set("status", accepted ? "accepted" : "stored");
  reply.body->set("version", static_cast<Poco::UInt64>(report.version.value()));
  Array::Ptr missing = new Array;
  for (const NodeId node : report.lacking) {
    missing->add(node.value());
  }
  reply.body->set("missing_nodes", missing);
  return reply;
}

}  // namespace

OperatorReply readTable(const TableSnapshot& table, const RowFilter& filter) {
  OperatorReply reply;
  reply.body = new Object;
  reply.body->set("version", static_cast<Poco::UInt64>(table.version().value()));
  Array::Ptr rows = new Array;
  for (const Row& row : table.rows()) {
    const bool wanted = (filter.service.empty() || filter.service == row.key.service) &&
                        (filter.tenant.empty() || filter.tenant == row.key.tenant);
    if (wanted) {
      Object::Ptr object = rowToJson(row);
      object->set("row_version", static_cast<Poco::UInt64>(row.rowVersion));
      rows->add(object);
    }
  }
  reply.body->set("rows", rows);
  return reply;
}

Result<OperatorReply> changeTable(OperatorServices& services, const std::string& body) {
  if (services.platform == nullptr) {
    return Error{ErrorKind::kUnavailable,
                 "this node runs without a platform; set platform_url to change the table.",
                 RunState::kNotRun, std::nullopt};
  }
  const auto parsed = parseJsonObject(body);
  if (!isOk(parsed)) {
    return errorOf(parsed);
  }
  const Table::Snapshot table = services.node.table.current();
  const Result<TableEdit> edit = readEdit(*valueOf(parsed), *table, *services.platform);
  if (!isOk(edit)) {
    return errorOf(edit);
  }
  TableChangeCoordinator coordinator(
      *services.platform, services.node.table, services.tableRole, services.membership,
      services.node.clock, services.node.knobs,
      [](Duration duration) { std::this_thread::sleep_for(duration); });
  const Result<EditReport> report = coordinator.change(valueOf(edit));
  if (!isOk(report)) {
    return errorOf(report);
  }
  if (valueOf(report).standing == EditStanding::kConflict) {
    return conflictReply(valueOf(report).conflicts);
  }
  return standingReply(valueOf(report));
}

Result<OperatorReply> tableHistory(OperatorServices& services, TableVersion after) {
  if (services.platform == nullptr) {
    return Error{ErrorKind::kUnavailable,
                 "this node runs without a platform, which keeps the "
                 "history.",
                 RunState::kNotRun, std::nullopt};
  }
  const Result<WatchBatch> batch =
      services.platform->watch(kTableCollection, CollectionRevision(after.value()), Duration{0});
  if (!isOk(batch)) {
    return errorOf(batch);
  }
  OperatorReply reply;
  reply.body = new Object;
  reply.body->set("compacted", valueOf(batch).compacted);
  Array::Ptr changes = new Array;
  for (const WatchedChange& change : valueOf(batch).changes) {
    const Result<RowKey> key = rowKeyFromObjectName(change.name.value());
    if (!isOk(key)) {
      continue;
    }
    Object::Ptr entry = new Object;
    entry->set("version", static_cast<Poco::UInt64>(change.version.value()));
    entry->set("change_id", change.changeId.value());
    entry->set("service", valueOf(key).service.value());
    entry->set("tenant", valueOf(key).tenant.value());
    const auto columns = change.valueJson ? parseJsonObject(*change.valueJson)
                                          : Result<Object::Ptr>(invalid("removed"));
    entry->set("columns",
               isOk(columns) ? Poco::Dynamic::Var(valueOf(columns)) : Poco::Dynamic::Var());
    changes->add(entry);
  }
  reply.body->set("changes", changes);
  return reply;
}

}  // namespace fernmoor
