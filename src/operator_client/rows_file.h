/// @file
/// Files of table rows that operators edit: JSON as `table get --output=json` writes it, a bare
/// JSON list of rows, or TOML with rows = [...] or [[rows]].
#pragma once

#include <Poco/JSON/Object.h>

#include <optional>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/ids.h"

namespace fernmoor {

/// One row of a file or of the table: its key and its other columns. Types and ranges are checked
/// by the node, which knows the columns.
struct NamedRow {
  ServiceId service;
  TenantId tenant;
  Poco::JSON::Object::Ptr columns;  ///< Without service, tenant and row_version; never null.
};

struct RowsFile {
  std::optional<TableVersion> version;  ///< Table version that the file was made from.
  std::vector<NamedRow> rows;
};

/// Reads a file; a name that ends in .toml is read as TOML, any other as JSON.
/// @return an error of kind kInvalidRequest that names file, place and remedy.
Result<RowsFile> readRowsFile(const std::string& path);

/// Reads {"version": V, "rows": [...]}; the node answers in the same form.
Result<RowsFile> rowsFromObject(const Poco::JSON::Object& object);

/// Reads "column=value": true, false and numbers as such, all else as text; "..." is always text.
/// @return false where there is no '=' or no column name.
bool addColumn(Poco::JSON::Object& columns, const std::string& assignment);

}  // namespace fernmoor
