/// @file
/// `fernmoor-bench compare A.json B.json...`: a page and plots of two or more runs.
#include <sys/stat.h>

#include <cerrno>
#include <cstdio>

#include "bench/comparison.h"
#include "commands.h"
#include "experiment_flags.h"
#include "flags.h"

namespace fernmoor::bench {

namespace {

Result<std::vector<ExperimentReport>> readReports(const Arguments& paths) {
  std::vector<ExperimentReport> reports;
  for (const std::string& path : paths) {
    const Result<std::string> text = readFile(path);
    if (!isOk(text)) {
      return errorOf(text);
    }
    const Result<ExperimentReport> report = parseReport(valueOf(text), path);
    if (!isOk(report)) {
      return errorOf(report);
    }
    if (!reports.empty() && reports.front().workload != valueOf(report).workload) {
      return Error{ErrorKind::kInvalidRequest,
                   path + " is of another workload than the first; compare runs of one workload.",
                   RunState::kNotRun, std::nullopt};
    }
    reports.push_back(valueOf(report));
  }
  return reports;
}

}  // namespace

int runCompareCommand(const Arguments& arguments) {
  if (arguments.size() < 2) {
    std::fprintf(stderr, "fernmoor-bench compare needs two or more files that --json wrote.\n");
    return kExitUsage;
  }
  const Result<std::vector<ExperimentReport>> reports = readReports(arguments);
  if (!isOk(reports)) {
    return printError(errorOf(reports));
  }
  if (mkdir(FLAGS_out.c_str(), 0777) != 0 && errno != EEXIST) {
    std::fprintf(stderr, "fernmoor-bench: the folder %s cannot be made; choose another --out.\n",
                 FLAGS_out.c_str());
    return kExitFailed;
  }
  for (const OutputFile& file : compareReports(valueOf(reports))) {
    const Result<Done> written = writeFile(FLAGS_out + "/" + file.name, file.text);
    if (!isOk(written)) {
      return printError(errorOf(written));
    }
  }
  std::printf("%s/report.html is written; for its pictures run: cd %s && gnuplot plots.gp\n",
              FLAGS_out.c_str(), FLAGS_out.c_str());
  return kExitDone;
}

}  // namespace fernmoor::bench
