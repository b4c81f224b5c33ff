#include "table/row_codec.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <map>
#include <optional>
#include <set>
#include <sstream>

#include "table/row_columns.h"

namespace fernmoor {

namespace {

using Poco::Dynamic::Var;

constexpr size_t kMaxJsonDepth = 8;
constexpr char kNameSeparator = ':';

Error invalid(const std::string& message) {
  return Error{ErrorKind::kInvalidRequest, message, RunState::kNotRun, std::nullopt};
}

Error invalidCells(const RowKey& key, const std::vector<std::string>& problems) {
  std::string message = "row " + describeRowKey(key) + ": ";
  for (size_t index = 0; index < problems.size(); ++index) {
    message += (index == 0 ? "" : "; ") + problems[index];
  }
  return invalid(message + ".");
}

std::string describeProblem(const std::string& column, const CellProblem& problem) {
  return "column " + column + ": found " + problem.found + ", " + problem.remedy;
}

std::string columnNames() {
  std::string names;
  for (const RowColumn& column : rowColumns()) {
    names += (names.empty() ? "" : ", ") + column.name;
  }
  return names;
}

/// Reads the given cells over the row; @return what was wrong.
std::vector<std::string> readCells(const Poco::JSON::Object& object, Row& row) {
  std::vector<std::string> problems;
  for (const auto& cell : object) {
    const RowColumn* column = findRowColumn(cell.first);
    if (column == nullptr) {
      problems.push_back("column " + cell.first +
                         ": found an unknown column, use one of: " + columnNames());
      continue;
    }
    if (const auto problem = column->read(row, cell.second)) {
      problems.push_back(describeProblem(cell.first, *problem));
    }
  }
  return problems;
}

void checkIdentity(const Row& row, std::vector<std::string>& problems) {
  if (row.key.service.empty()) {
    problems.emplace_back("column service: found nothing, give the service's name");
  }
  if (row.key.tenant.empty()) {
    problems.emplace_back("column tenant: found nothing, give the tenant's name");
  }
}

void checkBackEnd(const Row& row, std::vector<std::string>& problems) {
  if (row.backEnd == BackEndKind::kModel) {
    if (row.model.empty()) {
      problems.emplace_back("column model: found nothing, give the model that serves the row");
    }
    if (!row.operationPath.empty()) {
      problems.push_back("column operation: found " + row.operationPath.value() +
                         ", leave it out where back_end is model");
    }
    return;
  }
  if (row.operationPath.empty()) {
    problems.emplace_back("column operation: found nothing, give the operation at the back end");
  }
  if (!row.model.empty() || !row.adapter.empty()) {
    problems.push_back("column model: found " + row.model.value() + row.adapter.value() +
                       ", leave model and adapter out where back_end is application");
  }
}

void checkTimes(const Row& row, std::vector<std::string>& problems) {
  if (row.maxWait > row.deadline) {
    problems.push_back("column max_wait_ms: found " +
                       std::to_string(static_cast<int64_t>(toMilliseconds(row.maxWait))) +
                       ", give at most deadline_ms, which is " +
                       std::to_string(static_cast<int64_t>(toMilliseconds(row.deadline))));
  }
}

std::vector<std::string> checkBetweenCells(const Row& row) {
  std::vector<std::string> problems;
  checkIdentity(row, problems);
  checkBackEnd(row, problems);
  checkTimes(row, problems);
  return problems;
}

Result<Row> finishRow(Row row, std::vector<std::string> problems) {
  if (problems.empty()) {
    problems = checkBetweenCells(row);
  }
  if (!problems.empty()) {
    return invalidCells(row.key, problems);
  }
  return row;
}

/// A deadline below the default waiting time lowers the default, so that it needn't be given.
void fitDefaultWait(const Poco::JSON::Object& cells, Row& row) {
  if (!cells.has("max_wait_ms") && row.maxWait > row.deadline) {
    row.maxWait = row.deadline;
  }
}

Result<Var> parseJson(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaxJsonDepth);
    return parser.parse(text);
  } catch (const Poco::Exception& exception) {
    return invalid("the table text is no valid JSON (" + exception.displayText() +
                   "); correct it there.");
  }
}

Result<Row> rowFromVar(const Var& value) {
  if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
    return invalid("a row must be a JSON object of columns, e.g. {\"service\": \"alerts\", ...}.");
  }
  return rowFromJson(*value.extract<Poco::JSON::Object::Ptr>());
}

}  // namespace

std::string describeRowKey(const RowKey& key) {
  return "service " + key.service.value() + " of tenant " + key.tenant.value();
}

Result<Row> rowFromJson(const Poco::JSON::Object& object) {
  Row row;
  std::vector<std::string> problems = readCells(object, row);
  fitDefaultWait(object, row);
  return finishRow(std::move(row), std::move(problems));
}

Result<Row> rowFromJsonText(const std::string& text) {
  const Result<Var> parsed = parseJson(text);
  if (!isOk(parsed)) {
    return errorOf(parsed);
  }
  return rowFromVar(valueOf(parsed));
}

Result<std::vector<Row>> rowsFromJsonText(const std::string& text) {
  const Result<Var> parsed = parseJson(text);
  if (!isOk(parsed)) {
    return errorOf(parsed);
  }
  if (valueOf(parsed).type() != typeid(Poco::JSON::Array::Ptr)) {
    return invalid("a table must be a JSON array of rows, e.g. [{\"service\": \"alerts\", ...}].");
  }
  std::vector<Row> rows;
  for (const Var& element : *valueOf(parsed).extract<Poco::JSON::Array::Ptr>()) {
    Result<Row> row = rowFromVar(element);
    if (!isOk(row)) {
      return errorOf(row);
    }
    rows.push_back(std::move(valueOf(row)));
  }
  return rows;
}

Result<Row> editRow(const Row& base, const Poco::JSON::Object& cells) {
  Row row = base;
  std::vector<std::string> problems = readCells(cells, row);
  if (!(row.key == base.key)) {
    problems.emplace_back("the key can't be edited, remove the row and add one under the new key");
    row.key = base.key;
  }
  return finishRow(std::move(row), std::move(problems));
}

Poco::JSON::Object::Ptr rowToJson(const Row& row) {
  Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const RowColumn& column : rowColumns()) {
    object->set(column.name, column.write(row));
  }
  return object;
}

std::string rowToJsonText(const Row& row) {
  std::ostringstream out;
  rowToJson(row)->stringify(out);
  return out.str();
}

proto::TableRow rowToProto(const Row& row) {
  proto::TableRow message;
  message.set_service(row.key.service.value());
  message.set_tenant(row.key.tenant.value());
  message.set_back_end(row.backEnd == BackEndKind::kModel ? proto::TABLE_BACK_END_MODEL
                                                          : proto::TABLE_BACK_END_APPLICATION);
  message.set_model(row.model.value());
  message.set_adapter(row.adapter.value());
  message.set_operation(row.operationPath.value());
  message.set_deadline_class(row.deadlineClass == DeadlineClass::kInteractive
                                 ? proto::TABLE_DEADLINE_CLASS_INTERACTIVE
                                 : proto::TABLE_DEADLINE_CLASS_DEFERRED);
  message.set_priority(static_cast<uint32_t>(row.priority));
  message.set_weight(row.weight);
  message.set_rate_per_second(row.ratePerSecond);
  message.set_burst(row.burst);
  message.set_concurrency(static_cast<uint64_t>(row.concurrency));
  message.set_deadline_us(static_cast<uint64_t>(row.deadline.count()));
  message.set_max_wait_us(static_cast<uint64_t>(row.maxWait.count()));
  message.set_repeatable(row.repeatable);
  message.set_recomputation_weight(row.recomputationWeight);
  message.set_enabled(row.enabled);
  message.set_row_version(row.rowVersion);
  return message;
}

Result<Row> rowFromProto(const proto::TableRow& message) {
  Row row;
  row.key = RowKey{ServiceId(message.service()), TenantId(message.tenant())};
  row.backEnd = message.back_end() == proto::TABLE_BACK_END_MODEL ? BackEndKind::kModel
                                                                  : BackEndKind::kApplication;
  row.model = ModelId(message.model());
  row.adapter = AdapterId(message.adapter());
  row.operationPath = ServiceId(message.operation());
  row.deadlineClass = message.deadline_class() == proto::TABLE_DEADLINE_CLASS_INTERACTIVE
                          ? DeadlineClass::kInteractive
                          : DeadlineClass::kDeferred;
  row.priority = message.priority();
  row.weight = message.weight();
  row.ratePerSecond = message.rate_per_second();
  row.burst = message.burst();
  row.concurrency = static_cast<int64_t>(message.concurrency());
  row.deadline = Duration(static_cast<int64_t>(message.deadline_us()));
  row.maxWait = Duration(static_cast<int64_t>(message.max_wait_us()));
  row.repeatable = message.repeatable();
  row.recomputationWeight = message.recomputation_weight();
  row.enabled = message.enabled();
  row.rowVersion = message.row_version();
  const Result<Done> checked = checkRow(row);
  if (!isOk(checked)) {
    return errorOf(checked);
  }
  return row;
}

Result<Done> checkRow(const Row& row) {
  std::vector<std::string> problems;
  Row scratch;
  for (const RowColumn& column : rowColumns()) {
    if (const auto problem = column.read(scratch, column.write(row))) {
      problems.push_back(describeProblem(column.name, *problem));
    }
  }
  if (problems.empty()) {
    problems = checkBetweenCells(row);
  }
  if (!problems.empty()) {
    return invalidCells(row.key, problems);
  }
  return Done{};
}

Result<Done> checkTable(const std::vector<Row>& rows, size_t maxRows) {
  if (rows.size() > maxRows) {
    return Error{ErrorKind::kTooLarge,
                 "the table would have " + std::to_string(rows.size()) + " rows; keep to " +
                     std::to_string(maxRows) + " (knob tableMaxRows) or raise the knob.",
                 RunState::kNotRun, std::nullopt};
  }
  std::set<RowKey> keys;
  std::map<ServiceId, const Row*> firstOfService;
  for (const Row& row : rows) {
    if (!keys.insert(row.key).second) {
      return invalid("row " + describeRowKey(row.key) + " is given twice; keep one of them.");
    }
    const Row* first = firstOfService.emplace(row.key.service, &row).first->second;
    if (first->backEnd != row.backEnd) {
      return invalid("row " + describeRowKey(row.key) +
                     ", column back_end: found another kind of back end than tenant " +
                     first->key.tenant.value() +
                     " has for this service; give both the same or use another service name.");
    }
  }
  return Done{};
}

std::string rowObjectName(const RowKey& key) {
  return key.service.value() + kNameSeparator + key.tenant.value();
}

Result<RowKey> rowKeyFromObjectName(const std::string& name) {
  const size_t separator = name.find(kNameSeparator);
  const bool whole = separator != std::string::npos && separator > 0 && separator + 1 < name.size();
  if (!whole) {
    return invalid("object " + name + " is no row; name it service:tenant or delete it.");
  }
  return RowKey{ServiceId(name.substr(0, separator)), TenantId(name.substr(separator + 1))};
}

}  // namespace fernmoor
