/// @file
/// The operators' client: reads flags and environment and runs one command.
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

#include "operator_client/command_line.h"

DEFINE_string(node, "", "http://IP:PORT of any node; default: FERNMOOR_NODE");
DEFINE_string(key, "", "operator key; default: FERNMOOR_KEY");
DEFINE_string(output, "text", "text or json");
DEFINE_double(timeout, 30, "seconds to wait for an answer");
DEFINE_int64(base_version, -1, "table version that a change is based on");
DEFINE_string(change_id, "", "id of a change whose answer was lost");
DEFINE_uint64(after, 0, "table history shows changes after this version");

namespace {

const char* const kDefaultNode = "http://127.0.0.1:8080";

std::string flagOrEnvironment(const std::string& flag, const char* name,
                              const std::string& fallback) {
  if (!flag.empty()) {
    return flag;
  }
  const char* const value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

fernmoor::Result<fernmoor::ClientOptions> optionsFromFlags() {
  const auto node =
      fernmoor::parseNodeUrl(flagOrEnvironment(FLAGS_node, "FERNMOOR_NODE", kDefaultNode));
  if (!fernmoor::isOk(node)) {
    return fernmoor::errorOf(node);
  }
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    return fernmoor::Error{fernmoor::ErrorKind::kInvalidRequest,
                           "--output is \"" + FLAGS_output + "\"; give text or json.",
                           fernmoor::RunState::kNotRun, std::nullopt};
  }
  fernmoor::ClientOptions options;
  options.node = fernmoor::valueOf(node);
  options.operatorKey = flagOrEnvironment(FLAGS_key, "FERNMOOR_KEY", "");
  options.output =
      FLAGS_output == "json" ? fernmoor::OutputFormat::kJson : fernmoor::OutputFormat::kText;
  options.timeout = fernmoor::fromSeconds(FLAGS_timeout);
  options.historyAfter = fernmoor::TableVersion(FLAGS_after);
  if (FLAGS_base_version >= 0) {
    options.baseVersion = fernmoor::TableVersion(static_cast<uint64_t>(FLAGS_base_version));
  }
  if (!FLAGS_change_id.empty()) {
    options.changeId = FLAGS_change_id;
  }
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(fernmoor::helpText());
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto options = optionsFromFlags();
  if (!fernmoor::isOk(options)) {
    std::cerr << fernmoor::errorOf(options).message << "\n";
    return static_cast<int>(fernmoor::ExitCode::kUsage);
  }
  const fernmoor::CommandWords words(argv + 1, argv + argc);
  return static_cast<int>(
      fernmoor::runCommand(fernmoor::valueOf(options), words, std::cout, std::cerr));
}
