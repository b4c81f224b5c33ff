/// @file
/// How a program writes its log.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace fernmoor {

/// Text for people or one JSON object a line for programs.
enum class LogFormat { kText, kJson };

/// Least severe level that is written.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LogOptions {
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;
  /// Lines that wait to be written; beyond it the oldest are dropped. About 400 bytes each, used
  /// from the start.
  size_t queuedLines = 8192;
};

/// @return the level of that name: "debug", "info", "warning" or "error".
std::optional<LogLevel> parseLogLevel(const std::string& name);

}  // namespace fernmoor
