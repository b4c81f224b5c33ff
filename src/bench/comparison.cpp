#include "bench/comparison.h"

#include <cstdio>
#include <sstream>

namespace fernmoor::bench {

namespace {

std::string escapeHtml(const std::string& text) {
  std::string escaped;
  for (const char letter : text) {
    switch (letter) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

/// Text inside a double-quoted string of gnuplot.
std::string escapeGnuplot(const std::string& text) {
  std::string escaped;
  for (const char letter : text) {
    escaped += letter == '"' || letter == '\\' ? ' ' : letter;
  }
  return escaped;
}

std::string labelOf(const ExperimentReport& report) {
  std::ostringstream label;
  label << report.policy << ", " << report.stalenessMilliseconds << " ms, seed " << report.seed
        << ", load " << report.loadFactor;
  return label.str();
}

std::string cell(double value, const char* format) {
  char text[64];
  std::snprintf(text, sizeof(text), format, value);
  return std::string("<td>") + text + "</td>";
}

/// The groups of a run that the page shows, the total first.
std::vector<const GroupReport*> shownGroups(const ExperimentReport& report) {
  std::vector<const GroupReport*> groups{&report.total};
  for (const GroupReport& group : report.classes) {
    groups.push_back(&group);
  }
  for (const GroupReport& group : report.tenants) {
    groups.push_back(&group);
  }
  return groups;
}

const GroupReport* findGroup(const ExperimentReport& report, const std::string& name) {
  for (const GroupReport* group : shownGroups(report)) {
    if (group->name == name) {
      return group;
    }
  }
  return nullptr;
}

std::string refusalCell(const GroupReport& group) {
  std::string text;
  for (const RefusalCount& refusal : group.refusals) {
    text += std::string(toString(refusal.kind)) + " " + std::to_string(refusal.count) + " ";
  }
  return "<td>" + text + "</td>";
}

std::string groupRow(const ExperimentReport& report, const GroupReport& group) {
  const double offered = group.offered > 0 ? static_cast<double>(group.offered) : 1;
  return "<tr><td>" + escapeHtml(labelOf(report)) + "</td>" +
         cell(static_cast<double>(group.offered), "%.0f") +
         cell(100 * static_cast<double>(group.inTime) / offered, "%.1f") +
         cell(100 * group.blockHitRate, "%.1f") + cell(100 * group.tokenHitRate, "%.1f") +
         cell(100 * group.oracleHitRate, "%.1f") +
         cell(static_cast<double>(group.recomputedHeldTokens), "%.0f") +
         cell(group.firstToken.p50, "%.0f") + cell(group.firstToken.p95, "%.0f") +
         cell(group.firstToken.p99, "%.0f") + cell(group.firstToken.p999, "%.0f") +
         cell(group.betweenTokens.p50, "%.1f") + cell(group.betweenTokens.p99, "%.1f") +
         cell(static_cast<double>(group.retries), "%.0f") + refusalCell(group) + "</tr>\n";
}

std::string groupTable(const std::vector<ExperimentReport>& reports, const std::string& name) {
  std::string html = "<h2>" + escapeHtml(name) + "</h2>\n<table><tr><th>run</th><th>offered</th>" +
                     std::string(
                         "<th>in time %</th><th>hit % (blocks)</th><th>hit % (tokens)</th>"
                         "<th>oracle hit %</th><th>recomputed though held (tokens)</th>"
                         "<th>first token p50 ms</th><th>p95</th><th>p99</th><th>p99.9</th>"
                         "<th>between tokens p50 ms</th><th>p99</th><th>retries</th>"
                         "<th>refusals</th></tr>\n");
  for (const ExperimentReport& report : reports) {
    const GroupReport* group = findGroup(report, name);
    if (group != nullptr) {
      html += groupRow(report, *group);
    }
  }
  return html + "</table>\n";
}

std::string page(const std::vector<ExperimentReport>& reports) {
  std::string html =
      "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>fernmoor runs</title>\n"
      "<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
      "td,th{border:1px solid #bbb;padding:2px 8px;text-align:right}"
      "td:first-child{text-align:left}</style></head><body>\n";
  html += "<h1>Runs of workload " + escapeHtml(reports.front().workload) + "</h1>\n";
  html += "<p><img src=\"first_token.png\" alt=\"time to first token\">\n";
  html += "<img src=\"hit_rate.png\" alt=\"prefix hit rate\"></p>\n";
  for (const GroupReport* group : shownGroups(reports.front())) {
    html += groupTable(reports, group->name);
  }
  return html + "</body></html>\n";
}

/// One block of (share of requests, time) for each run and class, as gnuplot's index counts them.
std::string curveData(const std::vector<ExperimentReport>& reports) {
  std::ostringstream data;
  for (const ExperimentReport& report : reports) {
    for (const GroupReport& group : report.classes) {
      for (size_t step = 0; step < group.firstTokenCurve.size(); ++step) {
        data << group.firstTokenCurve[step] << " " << step << "\n";
      }
      data << (group.firstTokenCurve.empty() ? "nan nan\n\n\n" : "\n\n");
    }
  }
  return data.str();
}

std::string hitData(const std::vector<ExperimentReport>& reports) {
  std::ostringstream data;
  for (const ExperimentReport& report : reports) {
    data << '"' << escapeGnuplot(labelOf(report)) << "\" " << 100 * report.total.tokenHitRate << " "
         << 100 * report.total.oracleHitRate << "\n";
  }
  return data.str();
}

std::string plotScript(const std::vector<ExperimentReport>& reports) {
  std::ostringstream script;
  const size_t classes = reports.front().classes.size();
  script << "set terminal pngcairo noenhanced size 900," << 260 * classes << "\n"
         << "set output 'first_token.png'\n"
         << "set multiplot layout " << classes << ",1\n"
         << "set logscale x\nset key outside right\nset xlabel 'time to first token (ms)'\n"
         << "set ylabel '% of requests'\n";
  for (size_t group = 0; group < classes; ++group) {
    script << "set title \"" << escapeGnuplot(reports.front().classes[group].name) << "\"\nplot ";
    for (size_t run = 0; run < reports.size(); ++run) {
      script << (run > 0 ? ", " : "") << "'first_token.dat' index " << run * classes + group
             << " using 1:2 with lines title \"" << escapeGnuplot(labelOf(reports[run])) << "\"";
    }
    script << "\n";
  }
  script << "unset multiplot\nunset logscale\nset output 'hit_rate.png'\n"
         << "set terminal pngcairo noenhanced size 900,420\nset title 'prefix hit rate (tokens)'\n"
         << "set style data histogram\nset style fill solid 0.6\nset yrange [0:100]\n"
         << "set xlabel ''\nset ylabel '%'\nset xtics rotate by -20\n"
         << "plot 'hit_rate.dat' using 2:xtic(1) title 'found', '' using 3 title 'oracle'\n";
  return script.str();
}

}  // namespace

std::vector<OutputFile> compareReports(const std::vector<ExperimentReport>& reports) {
  return {{"report.html", page(reports)},
          {"plots.gp", plotScript(reports)},
          {"first_token.dat", curveData(reports)},
          {"hit_rate.dat", hitData(reports)}};
}

}  // namespace fernmoor::bench
