#include "common/log_options.h"

namespace fernmoor {

std::optional<LogLevel> parseLogLevel(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "info") {
    return LogLevel::kInfo;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  if (name == "error") {
    return LogLevel::kError;
  }
  return std::nullopt;
}

}  // namespace fernmoor
