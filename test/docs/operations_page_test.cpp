/// @file
/// Tests that docs/OPERATIONS.md names what exists. Run from the project's root folder.
#include <doctest/doctest.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "common/knobs.h"
#include "common/metrics.h"
#include "settings/settings.h"
#include "table/row_columns.h"

namespace fernmoor {

namespace {

std::string readPage() {
  std::ifstream file("docs/OPERATIONS.md");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// The names in back quotes in the first cells of the page's tables.
std::set<std::string> namesInFirstCells(const std::string& page) {
  std::set<std::string> names;
  const std::regex quoted("`([^`]+)`");
  std::istringstream lines(page);
  std::string line;
  while (std::getline(lines, line)) {
    const std::string cell = line.substr(0, line.find('|', 1));
    if (line.rfind("| `", 0) != 0) {
      continue;
    }
    for (std::sregex_iterator match(cell.begin(), cell.end(), quoted), end; match != end; ++match) {
      names.insert((*match)[1]);
    }
  }
  return names;
}

std::set<std::string> metricNames() {
  Metrics metrics;
  metrics.of(ServiceId("s"), TenantId("t"));
  metrics.setMembers({});
  metrics.setRetryBudget(ServiceId("s"), 0, 0, 0);
  std::set<std::string> names;
  const std::string text = metrics.serialize();
  const std::regex typeLine("# TYPE (\\w+) ");
  for (std::sregex_iterator match(text.begin(), text.end(), typeLine), end; match != end; ++match) {
    names.insert((*match)[1]);
  }
  return names;
}

/// Everything that the page must name in one of its tables.
std::set<std::string> namesThatExist() {
  std::set<std::string> names = metricNames();
  for (const std::string& key : settingsKeys()) {
    names.insert(key);
  }
  for (const RowColumn& column : rowColumns()) {
    names.insert(column.name);
  }
  for (int kind = 0; kind <= static_cast<int>(ErrorKind::kInternal); ++kind) {
    names.insert(toString(static_cast<ErrorKind>(kind)));
  }
  return names;
}

}  // namespace

TEST_CASE("the operations page names every setting, column, error kind and metric, and no other") {
  CHECK(namesInFirstCells(readPage()) == namesThatExist());
}

}  // namespace fernmoor
