/// @file
/// How a program writes its log.
#pragma once

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
};

/// @return the level of that name: "debug", "info", "warning" or "error".
std::optional<LogLevel> parseLogLevel(const std::string& name);

}  // namespace fernmoor
