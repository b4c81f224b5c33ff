/// @file
/// What an operator gives on the command line beside the command itself, and how the program ends.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/error.h"
#include "common/ids.h"
#include "common/socket_address.h"
#include "common/time.h"

namespace fernmoor {

/// Exit status of fernmoorctl; documented in docs/OPERATIONS.md.
enum class ExitCode : int {
  kOk = 0,
  kRefused = 1,      ///< Refused, stored but not in force everywhere yet, or `diff` found some.
  kUsage = 2,        ///< The command line or a file is wrong; nothing was sent.
  kUnreachable = 3,  ///< No answer; for a change it is not known whether it was stored.
  kConflict = 4,     ///< Somebody else changed the same rows first.
};

enum class OutputFormat { kText, kJson };

struct ClientOptions {
  SocketAddress node;  ///< Any node of the deployment.
  std::string operatorKey;
  OutputFormat output = OutputFormat::kText;
  Duration timeout{30000000};               ///< For the whole answer to start.
  std::optional<TableVersion> baseVersion;  ///< Version that an edit was based on.
  std::optional<std::string> changeId;      ///< To ask again for the outcome of a change.
  TableVersion historyAfter;                ///< `table history` shows later versions only.
};

/// Parses "http://127.0.0.1:8080" or "127.0.0.1:8080".
/// @return an error of kind kInvalidRequest that says what is accepted.
Result<SocketAddress> parseNodeUrl(const std::string& text);

}  // namespace fernmoor
