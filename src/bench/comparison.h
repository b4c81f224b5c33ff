/// @file
/// Compares two or more runs: an HTML page and the input of gnuplot for its pictures.
#pragma once

#include <string>
#include <vector>

#include "bench/experiment_report.h"

namespace fernmoor::bench {

/// A file to be written.
struct OutputFile {
  std::string name;
  std::string text;
};

/// @param reports at least one.
/// @return report.html, plots.gp, and the data that plots.gp reads. Running gnuplot on plots.gp
/// writes the pictures that the page shows; this program starts no other.
std::vector<OutputFile> compareReports(const std::vector<ExperimentReport>& reports);

}  // namespace fernmoor::bench
