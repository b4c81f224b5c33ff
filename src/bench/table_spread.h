/// @file
/// How long a change of the table takes until it is in force on the nodes, under virtual time, with
/// and without faults.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fernmoor::bench {

/// One situation, measured a few times with different seeds.
struct TableSpreadCase {
  uint32_t nodes = 0;
  std::string situation;
  /// Milliseconds from the change (or from the mending of the fault) until it is in force on so
  /// many of the nodes: the worst of all runs; negative where a run did not get there.
  double half = 0;
  double nearlyAll = 0;  ///< 99 in 100.
  double all = 0;
  double bytesPerNode = 0;  ///< Sent by a node for one change, on average; 0 where not measured.
  size_t reversals = 0;     ///< Times that a version in force went back; always to be 0.
  size_t runs = 0;
};

/// Measures all situations at one size.
/// @param seeds one run of each situation for each of the seeds 1 to `seeds`.
std::vector<TableSpreadCase> measureTableSpread(uint32_t nodes, uint32_t zones, uint64_t seeds);

/// @return a Markdown table.
std::string toMarkdown(const std::vector<TableSpreadCase>& cases);

}  // namespace fernmoor::bench
