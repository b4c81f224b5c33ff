/// @file
/// What a file of rows would change in the table.
#pragma once

#include <ostream>
#include <vector>

#include "operator_client/rows_file.h"

namespace fernmoor {

/// A row to be changed: the columns that differ, old and new.
struct RowDifference {
  ServiceId service;
  TenantId tenant;
  bool isNew = false;
  Poco::JSON::Object::Ptr before;  ///< Old values of the changed columns; empty for a new row.
  Poco::JSON::Object::Ptr after;   ///< Their new values.
};

/// Compares rows of a file with those in force. Rows and columns that the file leaves out stay as
/// they are. Numbers are compared as numbers, so that 1 and 1.0 are the same.
std::vector<RowDifference> diffRows(const std::vector<NamedRow>& current,
                                    const std::vector<NamedRow>& wanted);

/// Prints one line for each changed column.
void printChanges(std::ostream& out, const std::vector<RowDifference>& changes);

}  // namespace fernmoor
