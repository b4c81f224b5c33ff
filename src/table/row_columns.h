/// @file
/// The columns that operators see: name, type, range, and how each maps to a member of Row.
#pragma once

#include <Poco/Dynamic/Var.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "table/row.h"

namespace fernmoor {

/// Why a cell was not taken.
struct CellProblem {
  std::string found;   ///< The value as it was given, cut to a readable length.
  std::string remedy;  ///< What to give instead.
};

/// One column of the table.
struct RowColumn {
  std::string name;  ///< In snake_case, as in JSON.
  /// Takes a JSON value into the row; the row is unchanged where a problem is returned.
  std::function<std::optional<CellProblem>(Row&, const Poco::Dynamic::Var&)> read;
  /// @return the row's value for JSON.
  std::function<Poco::Dynamic::Var(const Row&)> write;
};

/// @return all columns, in the order in which they are shown.
const std::vector<RowColumn>& rowColumns();

/// @return the column of that name, or null.
const RowColumn* findRowColumn(const std::string& name);

}  // namespace fernmoor
