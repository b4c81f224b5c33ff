/// @file
/// The operators' table endpoint: reading rows, changing them, and the changes so far.
#pragma once

#include <string>

#include "node/operator_api.h"

namespace fernmoor {

/// Rows that are listed; empty names take all.
struct RowFilter {
  ServiceId service;
  TenantId tenant;
};

/// GET /operator/table.
OperatorReply readTable(const TableSnapshot& table, const RowFilter& filter);

/// POST /operator/table: checks, stores and waits until the change is in force everywhere.
/// @return 200 with its standing, 409 with both sides of a race, or an error.
Result<OperatorReply> changeTable(OperatorServices& services, const std::string& body);

/// GET /operator/table/history: the changes after a version that the platform still keeps.
Result<OperatorReply> tableHistory(OperatorServices& services, TableVersion after);

}  // namespace fernmoor
