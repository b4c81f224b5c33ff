/// @file
/// Times at the size of the target, on hollow nodes under virtual time: until a table change is in
/// force, and until the members agree, in calm and after cuts, replacements and a herd restart.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace fernmoor::bench {

struct SpreadOptions {
  uint32_t nodes = 380;
  uint32_t zones = 7;
  uint32_t replaced = 75;
  size_t rows = 1000;
  uint64_t seed = 1;
};

/// Time until a part of the nodes got there; none where it took longer than the limit.
struct SpreadTimes {
  std::string scenario;
  std::optional<Duration> half;
  std::optional<Duration> ninetyNine;
  std::optional<Duration> all;
};

/// Runs the scenarios of the table.
std::vector<SpreadTimes> measureTableScenarios(const SpreadOptions& options);

/// Runs the scenarios of the membership; only `all` is measured there.
std::vector<SpreadTimes> measureMembershipScenarios(const SpreadOptions& options);

/// @return a Markdown table.
std::string toMarkdown(const std::vector<SpreadTimes>& scenarios);

}  // namespace fernmoor::bench
