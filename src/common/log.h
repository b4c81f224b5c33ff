/// @file
/// Structured log of a program, on standard error. Built on spdlog's asynchronous logger: a caller
/// never waits for the output; if it falls behind, the oldest lines are dropped.
///
/// What may be logged is what LogFields can hold and a fixed phrase. Prompt text, answers and keys
/// must never be passed in: give ids, kinds and counts instead.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "common/log_options.h"

namespace fernmoor {

/// What a line is about; fields that are empty are left out.
struct LogFields {
  RequestId request;
  TenantId tenant;
  ServiceId service;
  AttemptId attempt;
  EngineId engine;
  std::optional<NodeId> peer;            ///< Another node.
  std::optional<ErrorKind> error;        ///< Kind of a failure.
  std::optional<Duration> elapsed;       ///< Written as elapsed_ms.
  std::optional<Duration> firstEvent;    ///< Until a stream's first event; first_event_ms.
  std::optional<Duration> longestPause;  ///< Between two of its events; longest_pause_ms.
  std::string lateCause;                 ///< Why an answer was late; late_cause.
  std::optional<Duration> tableAge;      ///< Age of the proof of the rows; table_age_ms.
  std::optional<int> sends;              ///< Back ends that a request was sent to.
  std::string attempts;                  ///< What became of each of these sends.
  std::optional<uint64_t> fingerprint;   ///< Equal for requests that come again; in hex.
  std::vector<uint64_t> parts;           ///< Of the first shared parts of its prompt; in hex.
  uint64_t leftOut = 0;                  ///< Lines of the kind that were not written; left_out.
};

/// Starts the program's log. Call once, before other threads run; until then lines are dropped.
/// @param node written with every line.
void startLog(const LogOptions& options, NodeId node);
/// Writes what is queued and ends the log.
void stopLog();

/// @return whether lines of the level are written; lets callers skip building fields.
bool logEnabled(LogLevel level);
/// Queues a line. Thread-safe.
/// @param message a phrase without prompt text or keys; longer ones are cut at 1,024 bytes, names
///        at 256, so that the lines that wait are bounded in bytes.
void logEvent(LogLevel level, std::string_view message, const LogFields& fields = {});

inline void logDebug(std::string_view message, const LogFields& fields = {}) {
  logEvent(LogLevel::kDebug, message, fields);
}
inline void logInfo(std::string_view message, const LogFields& fields = {}) {
  logEvent(LogLevel::kInfo, message, fields);
}
inline void logWarning(std::string_view message, const LogFields& fields = {}) {
  logEvent(LogLevel::kWarning, message, fields);
}
inline void logError(std::string_view message, const LogFields& fields = {}) {
  logEvent(LogLevel::kError, message, fields);
}

/// The part of a line that follows time and level: for JSON the members of the object without its
/// braces. Control characters are escaped, so that a name from outside cannot forge a line.
std::string formatLogPayload(LogFormat format, NodeId node, std::string_view message,
                             const LogFields& fields);

}  // namespace fernmoor
