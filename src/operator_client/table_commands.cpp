#include "operator_client/table_commands.h"

#include <Poco/URI.h>
#include <Poco/UUIDGenerator.h>

#include "http/json_text.h"
#include "operator_client/rows_file.h"
#include "operator_client/table_diff.h"
#include "operator_client/text_table.h"

namespace fernmoor {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

const char* const kTablePath = "/operator/table";

const std::vector<MemberColumn>& overviewColumns() {
  static const std::vector<MemberColumn> kColumns = {
      {"SERVICE", "service"},         {"TENANT", "tenant"},
      {"BACK END", "back_end"},       {"MODEL", "model"},
      {"CLASS", "deadline_class"},    {"PRIORITY", "priority"},
      {"WEIGHT", "weight"},           {"RATE/S", "rate_per_second"},
      {"CONCURRENCY", "concurrency"}, {"DEADLINE MS", "deadline_ms"},
      {"REPEATABLE", "repeatable"},   {"ENABLED", "enabled"},
      {"ROW VERSION", "row_version"},
  };
  return kColumns;
}

/// The table, or the exit code of the failure that was reported.
std::variant<Object::Ptr, ExitCode> fetchTable(CommandContext& context, const std::string& query) {
  const OperatorOutcome outcome = context.connection.get(kTablePath + query);
  if (const auto* failure = std::get_if<OperatorFailure>(&outcome)) {
    return reportFailure(context, *failure);
  }
  return std::get<Object::Ptr>(outcome);
}

std::string encoded(const std::string& name) {
  std::string text;
  Poco::URI::encode(name, "&=+?#/;", text);
  return text;
}

/// @return the query for the rows of a service and tenant; an empty name means all.
std::string filterQuery(const std::string& service, const std::string& tenant) {
  std::string query;
  if (!service.empty()) {
    query += "?service=" + encoded(service);
  }
  if (!tenant.empty()) {
    query += (query.empty() ? "?" : "&") + std::string("tenant=") + encoded(tenant);
  }
  return query;
}

void printRow(std::ostream& out, const Object& row) {
  TextTable table({"COLUMN", "VALUE"});
  for (const auto& [column, value] : row) {
    table.add({column, cellText(row, column)});
  }
  table.print(out);
}

ExitCode getTable(CommandContext& context, const CommandWords& words) {
  if (words.size() > 2) {
    return usageError(context, "table get [SERVICE [TENANT]] takes two names at most.");
  }
  const auto fetched = fetchTable(
      context, filterQuery(words.empty() ? "" : words[0], words.size() < 2 ? "" : words[1]));
  if (const auto* code = std::get_if<ExitCode>(&fetched)) {
    return *code;
  }
  const Object::Ptr body = std::get<Object::Ptr>(fetched);
  if (context.wantsJson()) {
    printJson(context, *body);
    return ExitCode::kOk;
  }
  const Array::Ptr rows = body->getArray("rows");
  context.out << "table version " << cellText(*body, "version") << "\n";
  if (words.size() == 2 && !rows.isNull() && rows->size() == 1) {
    printRow(context.out, *rows->getObject(0));
    return ExitCode::kOk;
  }
  printObjects(context.out, rows, overviewColumns());
  return ExitCode::kOk;
}

Object::Ptr changeObject(const ServiceId& service, const TenantId& tenant,
                         const Poco::Dynamic::Var& columns) {
  Object::Ptr change = new Object;
  change->set("service", service.value());
  change->set("tenant", tenant.value());
  change->set("columns", columns);
  return change;
}

/// Tells what became of a change that the node took.
ExitCode reportStored(CommandContext& context, const Object& body) {
  const bool accepted = stringMember(body, "status") == "accepted";
  if (context.wantsJson()) {
    printJson(context, body);
    return accepted ? ExitCode::kOk : ExitCode::kRefused;
  }
  const std::string version = cellText(body, "version");
  if (accepted) {
    context.out << "accepted: version " << version << " is in force on every live node\n";
    return ExitCode::kOk;
  }
  const std::string missing = cellText(body, "missing_nodes");
  context.out << "stored as version " << version << ", but not yet in force everywhere: "
              << (missing == "-" ? "the platform did not tell which machines are live"
                                 : "nodes that lack it: " + missing)
              << "\nIt stays stored and spreads by itself; `fernmoorctl nodes` shows each node's "
                 "version.\n";
  return ExitCode::kRefused;
}

ExitCode sendChanges(CommandContext& context, const Array::Ptr& changes, TableVersion base) {
  const std::string changeId = context.options.changeId.value_or(
      Poco::UUIDGenerator::defaultGenerator().createRandom().toString());
  Object request;
  request.set("base_version", static_cast<Poco::UInt64>(base.value()));
  request.set("change_id", changeId);
  request.set("changes", changes);
  const OperatorOutcome outcome = context.connection.post(kTablePath, request);
  if (const auto* failure = std::get_if<OperatorFailure>(&outcome)) {
    const ExitCode code = reportFailure(context, *failure);
    if (code == ExitCode::kUnreachable) {
      context.err << "To learn the outcome, run the same command with --change_id=" << changeId
                  << " --base_version=" << base << "; it is stored at most once.\n";
    }
    return code;
  }
  return reportStored(context, *std::get<Object::Ptr>(outcome));
}

/// Sends one row's change, based on the version given or else on the one in force now.
ExitCode sendOneChange(CommandContext& context, const Object::Ptr& change) {
  TableVersion base;
  if (context.options.baseVersion) {
    base = *context.options.baseVersion;
  } else {
    const auto fetched = fetchTable(
        context, filterQuery(stringMember(*change, "service"), stringMember(*change, "tenant")));
    if (const auto* code = std::get_if<ExitCode>(&fetched)) {
      return *code;
    }
    base = TableVersion(
        static_cast<uint64_t>(integerMember(*std::get<Object::Ptr>(fetched), "version")));
  }
  Array::Ptr changes = new Array;
  changes->add(change);
  return sendChanges(context, changes, base);
}

ExitCode setCells(CommandContext& context, const CommandWords& words) {
  constexpr size_t kFirstAssignment = 2;
  if (words.size() <= kFirstAssignment) {
    return usageError(context, "table set needs SERVICE TENANT and one or more COLUMN=VALUE.");
  }
  Object::Ptr columns = new Object;
  for (size_t i = kFirstAssignment; i < words.size(); ++i) {
    if (!addColumn(*columns, words[i])) {
      return usageError(context, "\"" + words[i] + "\" is not COLUMN=VALUE.");
    }
  }
  return sendOneChange(context, changeObject(ServiceId(words[0]), TenantId(words[1]), columns));
}

ExitCode deleteRow(CommandContext& context, const CommandWords& words) {
  if (words.size() != 2) {
    return usageError(context, "table delete needs SERVICE and TENANT.");
  }
  return sendOneChange(context,
                       changeObject(ServiceId(words[0]), TenantId(words[1]), Poco::Dynamic::Var()));
}

/// A file of rows compared with the table in force.
struct FileComparison {
  std::vector<RowDifference> changes;
  TableVersion base;  ///< Version that the changes are based on.
};

std::variant<FileComparison, ExitCode> compareFile(CommandContext& context,
                                                   const std::string& path) {
  const Result<RowsFile> file = readRowsFile(path);
  if (!isOk(file)) {
    return usageError(context, errorOf(file).message);
  }
  const auto fetched = fetchTable(context, "");
  if (const auto* code = std::get_if<ExitCode>(&fetched)) {
    return *code;
  }
  const Result<RowsFile> current = rowsFromObject(*std::get<Object::Ptr>(fetched));
  if (!isOk(current)) {
    context.err << "the node's table is not as expected: " << errorOf(current).message << "\n";
    return ExitCode::kRefused;
  }
  FileComparison comparison;
  comparison.changes = diffRows(valueOf(current).rows, valueOf(file).rows);
  const TableVersion now = valueOf(current).version.value_or(TableVersion());
  comparison.base = context.options.baseVersion.value_or(valueOf(file).version.value_or(now));
  return comparison;
}

Object::Ptr toJson(const RowDifference& change) {
  Object::Ptr object = changeObject(change.service, change.tenant, change.after);
  object->set("before", change.before);
  object->set("new", change.isNew);
  return object;
}

ExitCode diffFile(CommandContext& context, const CommandWords& words) {
  if (words.size() != 1) {
    return usageError(context, "table diff needs one FILE.");
  }
  const auto compared = compareFile(context, words[0]);
  if (const auto* code = std::get_if<ExitCode>(&compared)) {
    return *code;
  }
  const std::vector<RowDifference>& changes = std::get<FileComparison>(compared).changes;
  if (context.wantsJson()) {
    Array::Ptr list = new Array;
    for (const RowDifference& change : changes) {
      list->add(toJson(change));
    }
    Object body;
    body.set("changes", list);
    printJson(context, body);
  } else {
    printChanges(context.out, changes);
  }
  return changes.empty() ? ExitCode::kOk : ExitCode::kRefused;
}

ExitCode applyFile(CommandContext& context, const CommandWords& words) {
  if (words.size() != 1) {
    return usageError(context, "table apply needs one FILE.");
  }
  const auto compared = compareFile(context, words[0]);
  if (const auto* code = std::get_if<ExitCode>(&compared)) {
    return *code;
  }
  const auto& comparison = std::get<FileComparison>(compared);
  if (!context.wantsJson()) {
    printChanges(context.out, comparison.changes);
  }
  Array::Ptr changes = new Array;
  for (const RowDifference& change : comparison.changes) {
    changes->add(changeObject(change.service, change.tenant, change.after));
  }
  if (changes->size() == 0 && !context.options.changeId) {
    Object body;
    body.set("status", "unchanged");
    if (context.wantsJson()) {
      printJson(context, body);
    }
    return ExitCode::kOk;
  }
  return sendChanges(context, changes, comparison.base);
}

ExitCode showHistory(CommandContext& context, const CommandWords& words) {
  if (!words.empty()) {
    return usageError(context, "table history takes no words; use --after=VERSION.");
  }
  const OperatorOutcome outcome =
      context.connection.get(std::string(kTablePath) + "/history?after=" +
                             std::to_string(context.options.historyAfter.value()));
  if (const auto* failure = std::get_if<OperatorFailure>(&outcome)) {
    return reportFailure(context, *failure);
  }
  const Object::Ptr body = std::get<Object::Ptr>(outcome);
  if (context.wantsJson()) {
    printJson(context, *body);
    return ExitCode::kOk;
  }
  printObjects(context.out, body->getArray("changes"),
               {{"VERSION", "version"},
                {"CHANGE", "change_id"},
                {"SERVICE", "service"},
                {"TENANT", "tenant"},
                {"COLUMNS (- is deleted)", "columns"}});
  return ExitCode::kOk;
}

}  // namespace

ExitCode runTableCommand(CommandContext& context, const CommandWords& words) {
  const std::string action = words.empty() ? "" : words.front();
  const CommandWords rest(words.empty() ? words.end() : words.begin() + 1, words.end());
  if (action == "get") {
    return getTable(context, rest);
  }
  if (action == "set") {
    return setCells(context, rest);
  }
  if (action == "delete") {
    return deleteRow(context, rest);
  }
  if (action == "apply") {
    return applyFile(context, rest);
  }
  if (action == "diff") {
    return diffFile(context, rest);
  }
  if (action == "history") {
    return showHistory(context, rest);
  }
  return usageError(context, "table needs one of get, set, delete, apply, diff, history.");
}

}  // namespace fernmoor
