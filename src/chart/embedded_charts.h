/// @file
/// State charts compiled into the program from the files of charts/ (see
/// scripts/embed_charts.cmake).
#pragma once

#include <string>
#include <vector>

namespace fernmoor {

/// The text of one chart file.
struct EmbeddedChart {
  std::string name;   ///< File name without its ending, e.g. "claim".
  std::string scxml;  ///< The file's whole text.
};

/// @return all charts of charts/, sorted by name; the same object at every call.
const std::vector<EmbeddedChart>& embeddedCharts();

}  // namespace fernmoor
