/// @file
/// Rows to and from JSON (operators, platform) and protobuf (other nodes), and the checks of rows
/// and of the table as a whole. All functions are pure and thread-safe.
#pragma once

#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

#include "common/error.h"
#include "table.pb.h"
#include "table/row.h"

namespace fernmoor {

/// Reads one row; a column left out takes its default.
/// @return an error of kind kInvalidRequest that names the row and, for every wrong cell, the
///     column, what was found and the remedy.
Result<Row> rowFromJson(const Poco::JSON::Object& object);
/// Reads one row from JSON text.
Result<Row> rowFromJsonText(const std::string& text);
/// Reads an array of rows, e.g. the file of `fernmoorctl table apply`.
Result<std::vector<Row>> rowsFromJsonText(const std::string& text);
/// Reads cells over an existing row: columns left out stay as they are. A changed key is an error.
Result<Row> editRow(const Row& base, const Poco::JSON::Object& cells);

/// @return every column of the row, in the columns' order.
Poco::JSON::Object::Ptr rowToJson(const Row& row);
/// @return the row as one line of JSON.
std::string rowToJsonText(const Row& row);

/// @return all columns and the row version.
proto::TableRow rowToProto(const Row& row);
/// Reads a row from another node; checked as a row from an operator is.
Result<Row> rowFromProto(const proto::TableRow& message);

/// Checks every cell's range and the rules between the cells of one row.
Result<Done> checkRow(const Row& row);
/// Checks the rules between rows: keys are unique, rows of one service have one kind of back end,
/// and there are at most `maxRows`. Each row must have passed checkRow.
Result<Done> checkTable(const std::vector<Row>& rows, size_t maxRows);

/// @return "service:tenant", the name of the row's object in the platform.
std::string rowObjectName(const RowKey& key);
/// Reads the name of a row's object.
Result<RowKey> rowKeyFromObjectName(const std::string& name);

/// @return "service SERVICE of tenant TENANT" for messages to people.
std::string describeRowKey(const RowKey& key);

}  // namespace fernmoor
