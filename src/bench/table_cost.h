/// @file
/// What the table costs one node: processor time and memory by its number of rows.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fernmoor::bench {

/// Measured on this machine, with the process's own clocks.
struct TableCost {
  size_t rows = 0;
  double buildSeconds = 0;        ///< Of a snapshot from all rows.
  double heapBytes = 0;           ///< Of one snapshot.
  double findNanoseconds = 0;     ///< Of one lookup by key.
  double applyMicroseconds = 0;   ///< Of putting a change of one row in force.
  double heapBytesPerChange = 0;  ///< Kept by a reader that holds the former snapshot.
  double editCheckSeconds = 0;    ///< Of the checks of an operator's change of one row.
  double transferSeconds = 0;     ///< Of a snapshot transfer's pages, both ends together.
  double transferBytes = 0;       ///< Of these pages.
};

TableCost measureTableCost(size_t rows);

/// @return a Markdown table.
std::string toMarkdown(const std::vector<TableCost>& costs);

}  // namespace fernmoor::bench
