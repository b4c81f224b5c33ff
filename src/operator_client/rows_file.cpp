#include "operator_client/rows_file.h"

#include <Poco/JSON/Array.h>
#include <Poco/NumberParser.h>
#include <toml++/toml.h>

#include <fstream>
#include <set>
#include <sstream>

#include "http/json_text.h"

namespace fernmoor {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Object;

const std::string kTomlEnding = ".toml";

Error fileError(const std::string& message) {
  return Error{ErrorKind::kInvalidRequest, message, RunState::kNotRun, std::nullopt};
}

Var toVar(const toml::node& node) {
  if (const auto text = node.value_exact<std::string>()) {
    return Var(*text);
  }
  if (const auto flag = node.value_exact<bool>()) {
    return Var(*flag);
  }
  if (const auto whole = node.value_exact<int64_t>()) {
    return Var(static_cast<Poco::Int64>(*whole));
  }
  if (const auto number = node.value_exact<double>()) {
    return Var(*number);
  }
  return Var();
}

Object::Ptr toObject(const toml::table& table) {
  Object::Ptr object = new Object;
  for (const auto& [name, node] : table) {
    object->set(std::string(name.str()), toVar(node));
  }
  return object;
}

Result<RowsFile> readToml(const std::string& path) {
  try {
    const toml::table root = toml::parse_file(path);
    Object whole(toObject(root).operator*());
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    if (const toml::array* tables = root["rows"].as_array()) {
      for (const toml::node& node : *tables) {
        rows->add(node.is_table() ? Var(toObject(*node.as_table())) : Var());
      }
      whole.set("rows", rows);
    }
    return rowsFromObject(whole);
  } catch (const toml::parse_error& failure) {
    const auto line = failure.source().begin.line;
    const std::string place = line == 0 ? "" : ":" + std::to_string(line);
    return fileError(path + place + ": " + std::string(failure.description()) +
                     "; correct the file.");
  }
}

/// A bare list of rows is read like an object that has only them.
std::string withRowsMember(const std::string& text) {
  const size_t first = text.find_first_not_of(" \t\r\n");
  const bool isList = first != std::string::npos && text[first] == '[';
  return isList ? "{\"rows\":" + text + "}" : text;
}

Result<RowsFile> readJson(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return fileError(path + " cannot be read; give the path of a readable file.");
  }
  std::ostringstream text;
  text << file.rdbuf();
  const auto object = parseJsonObject(withRowsMember(text.str()));
  if (!isOk(object)) {
    return fileError(path + ": " + errorOf(object).message);
  }
  return rowsFromObject(*valueOf(object));
}

std::optional<NamedRow> rowFromObject(const Object& object) {
  const std::string service = stringMember(object, "service");
  const std::string tenant = stringMember(object, "tenant");
  if (service.empty() || tenant.empty()) {
    return std::nullopt;
  }
  Object::Ptr columns = new Object(object);
  columns->remove("service");
  columns->remove("tenant");
  columns->remove("row_version");
  return NamedRow{ServiceId(service), TenantId(tenant), columns};
}

Var parseValue(const std::string& text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    return Var(text.substr(1, text.size() - 2));
  }
  if (text == "true" || text == "false") {
    return Var(text == "true");
  }
  Poco::Int64 whole = 0;
  if (Poco::NumberParser::tryParse64(text, whole)) {
    return Var(whole);
  }
  double number = 0;
  if (Poco::NumberParser::tryParseFloat(text, number)) {
    return Var(number);
  }
  return Var(text);
}

}  // namespace

Result<RowsFile> rowsFromObject(const Object& object) {
  RowsFile file;
  if (object.has("version")) {
    file.version = TableVersion(static_cast<uint64_t>(integerMember(object, "version")));
  }
  const Poco::JSON::Array::Ptr rows = object.getArray("rows");
  if (rows.isNull()) {
    return fileError("there is no list of rows; give \"rows\" in JSON or [[rows]] in TOML.");
  }
  std::set<std::string> keys;
  for (size_t i = 0; i < rows->size(); ++i) {
    const Object::Ptr entry = rows->getObject(static_cast<unsigned>(i));
    const auto row = entry.isNull() ? std::nullopt : rowFromObject(*entry);
    const std::string place = "row " + std::to_string(i + 1);
    if (!row) {
      return fileError(place + " lacks service or tenant; give both as text.");
    }
    if (!keys.insert(row->service.value() + " " + row->tenant.value()).second) {
      return fileError(place + " has the service and tenant of an earlier row; remove one.");
    }
    file.rows.push_back(*row);
  }
  return file;
}

Result<RowsFile> readRowsFile(const std::string& path) {
  const bool toml =
      path.size() > kTomlEnding.size() &&
      path.compare(path.size() - kTomlEnding.size(), kTomlEnding.size(), kTomlEnding) == 0;
  return toml ? readToml(path) : readJson(path);
}

bool addColumn(Object& columns, const std::string& assignment) {
  const size_t equals = assignment.find('=');
  if (equals == std::string::npos || equals == 0) {
    return false;
  }
  columns.set(assignment.substr(0, equals), parseValue(assignment.substr(equals + 1)));
  return true;
}

}  // namespace fernmoor
