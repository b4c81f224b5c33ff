#include "experiment_flags.h"

#include <cstdio>
#include <fstream>
#include <sstream>

#include "commands.h"
#include "flags.h"

namespace fernmoor::bench {

namespace {

Error invalid(const std::string& message) {
  return Error{ErrorKind::kInvalidRequest, message, RunState::kNotRun, std::nullopt};
}

/// Applies "name=value,name=value".
Result<Done> applyKnobs(Knobs& knobs, const std::string& text) {
  std::istringstream settings(text);
  std::string setting;
  while (std::getline(settings, setting, ',')) {
    const size_t equals = setting.find('=');
    double value = 0;
    if (equals == std::string::npos ||
        std::sscanf(setting.c_str() + equals + 1, "%lf", &value) != 1) {
      return invalid("--knobs has \"" + setting + "\"; write name=number,name=number.");
    }
    const Result<Done> set = setKnob(knobs, setting.substr(0, equals), value);
    if (!isOk(set)) {
      return errorOf(set);
    }
  }
  return Done{};
}

}  // namespace

Result<ExperimentOptions> experimentOptionsFromFlags() {
  if (FLAGS_seconds <= FLAGS_warm_up_seconds || FLAGS_warm_up_seconds < 0) {
    return invalid("--seconds must be greater than --warm_up_seconds, and that not negative.");
  }
  if (FLAGS_load <= 0 || FLAGS_staleness_ms < 0) {
    return invalid("--load must be greater than 0 and --staleness_ms not negative.");
  }
  ExperimentOptions options;
  options.policy = FLAGS_policy;
  options.seed = FLAGS_seed;
  options.length = fromSeconds(FLAGS_seconds);
  options.warmUp = fromSeconds(FLAGS_warm_up_seconds);
  options.loadFactor = FLAGS_load;
  options.admission = FLAGS_admission;
  options.staleness.age = fromSeconds(FLAGS_staleness_ms / 1000);
  options.staleness.perfect = FLAGS_perfect;
  options.staleness.gapEvery = fromSeconds(FLAGS_gap_every_seconds);
  options.crashEvery = fromSeconds(FLAGS_crash_every_seconds);
  const Result<Done> applied = applyKnobs(options.knobs, FLAGS_knobs);
  if (!isOk(applied)) {
    return errorOf(applied);
  }
  return options;
}

int printError(const Error& error) {
  std::fprintf(stderr, "fernmoor-bench: %s\n", error.message.c_str());
  return kExitFailed;
}

Result<Done> writeFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) {
    return invalid(path + " cannot be written; check that its folder exists and is writable.");
  }
  return Done{};
}

Result<std::string> readFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return invalid(path + " cannot be read; give the path of an existing file.");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace fernmoor::bench
