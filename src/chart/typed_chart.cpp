#include "chart/typed_chart.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace fernmoor {

namespace {

[[noreturn]] void endProgram(const std::string& message) {
  std::fprintf(stderr, "%s; correct charts/ and build again.\n", message.c_str());
  std::abort();
}

}  // namespace

Chart embeddedChart(const std::string& name, const std::vector<std::string>& stateNames,
                    const std::vector<std::string>& eventNames) {
  const std::vector<EmbeddedChart>& charts = embeddedCharts();
  const auto found = std::find_if(charts.begin(), charts.end(),
                                  [&](const EmbeddedChart& chart) { return chart.name == name; });
  if (found == charts.end()) {
    endProgram("there is no embedded chart named " + name);
  }
  Result<Chart> chart = Chart::parse(name, found->scxml, stateNames, eventNames);
  if (!isOk(chart)) {
    endProgram(errorOf(chart).message);
  }
  return valueOf(std::move(chart));
}

}  // namespace fernmoor
