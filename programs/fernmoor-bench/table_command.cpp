/// @file
/// `fernmoor-bench table [cost|spread] [NODES...]`: the table's cost by its size, and how fast a
/// change is in force on so many nodes (all sizes where none is given), for docs/TABLE.md.
#include <algorithm>
#include <cstdio>

#include "bench/table_cost.h"
#include "bench/table_spread.h"
#include "commands.h"
#include "flags.h"

namespace fernmoor::bench {

namespace {

constexpr size_t kRowCounts[] = {1000, 10000, 35000};

struct Size {
  uint32_t nodes;
  uint32_t zones;
};
constexpr Size kSizes[] = {{3, 3}, {30, 3}, {380, 7}};

void printCost() {
  std::vector<TableCost> costs;
  for (const size_t rows : kRowCounts) {
    costs.push_back(measureTableCost(rows));
  }
  std::printf("Command: `fernmoor-bench table cost`\n\n%s\n", toMarkdown(costs).c_str());
}

bool isWanted(const Size& size, const Arguments& arguments) {
  const bool anySize = std::any_of(std::begin(kSizes), std::end(kSizes), [&](const Size& each) {
    return std::count(arguments.begin(), arguments.end(), std::to_string(each.nodes)) > 0;
  });
  return !anySize || std::count(arguments.begin(), arguments.end(), std::to_string(size.nodes)) > 0;
}

void printSpread(const Arguments& arguments) {
  const auto seeds = static_cast<uint64_t>(FLAGS_seeds);
  std::printf("Command: `fernmoor-bench table spread --seeds=%d`\n\n", FLAGS_seeds);
  std::vector<TableSpreadCase> all;
  for (const Size& size : kSizes) {
    if (!isWanted(size, arguments)) {
      continue;
    }
    const auto cases = measureTableSpread(size.nodes, size.zones, seeds);
    all.insert(all.end(), cases.begin(), cases.end());
  }
  std::printf("%s\n", toMarkdown(all).c_str());
}

}  // namespace

int runTableCommand(const Arguments& arguments) {
  const auto wants = [&](const char* part) {
    return arguments.empty() ||
           std::find(arguments.begin(), arguments.end(), part) != arguments.end();
  };
  if (!wants("cost") && !wants("spread")) {
    std::fprintf(stderr, "fernmoor-bench table: choose cost or spread, or give neither for both\n");
    return kExitUsage;
  }
  if (wants("cost")) {
    printCost();
  }
  if (wants("spread")) {
    printSpread(arguments);
  }
  return kExitDone;
}

}  // namespace fernmoor::bench
