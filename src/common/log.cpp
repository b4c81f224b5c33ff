#include "common/log.h"

#include <Poco/JSONString.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>

#include "common/hex_text.h"

namespace fernmoor {

namespace {

constexpr size_t kMaximumMessageBytes = 1024;
/// Names come from outside, up to a header's length; real ones have some ten bytes. What was sent
/// to several engines takes some hundred.
constexpr size_t kMaximumFieldBytes = 256;
constexpr size_t kMaximumAttemptsBytes = 1024;
constexpr size_t kMaximumParts = 8;
const char* const kTextPattern = "%Y-%m-%dT%H:%M:%S.%fZ %l %v";
const char* const kJsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v})";

/// The log of this program; set before other threads run and reset after they ended.
struct ProgramLog {
  std::shared_ptr<spdlog::logger> logger;
  LogFormat format = LogFormat::kText;
  NodeId node;
};

ProgramLog& programLog() {
  static ProgramLog log;
  return log;
}

spdlog::level::level_enum toSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

/// Appends name and value pairs in the format of the log.
class PayloadWriter {
 public:
  PayloadWriter(LogFormat format, std::string_view message) : json_(format == LogFormat::kJson) {
    const std::string cut(message.substr(0, kMaximumMessageBytes));
    payload_ = json_ ? "\"message\":" + Poco::toJSON(cut) : Poco::toJSON(cut, 0);
  }

  void text(const char* name, std::string_view value, size_t maximum = kMaximumFieldBytes) {
    if (!value.empty()) {
      append(name, Poco::toJSON(std::string(value.substr(0, maximum))));
    }
  }
  void number(const char* name, const std::string& value) { append(name, value); }
  std::string take() { return std::move(payload_); }

 private:
  void append(const char* name, const std::string& value) {
    payload_ += json_ ? ",\"" + std::string(name) + "\":" : " " + std::string(name) + "=";
    payload_ += value;
  }

  bool json_;
  std::string payload_;
};

}  // namespace

std::string formatLogPayload(LogFormat format, NodeId node, std::string_view message,
                             const LogFields& fields) {
  PayloadWriter writer(format, message);
  writer.number("node", std::to_string(node.value()));
  writer.text("request", fields.request.value());
  writer.text("attempt", fields.attempt.value());
  writer.text("tenant", fields.tenant.value());
  writer.text("service", fields.service.value());
  writer.text("engine", fields.engine.value());
  if (fields.peer) {
    writer.number("peer", std::to_string(fields.peer->value()));
  }
  if (fields.error) {
    writer.text("error", toString(*fields.error));
  }
  if (fields.elapsed) {
    writer.number("elapsed_ms", std::to_string(toMilliseconds(*fields.elapsed)));
  }
  if (fields.firstEvent) {
    writer.number("first_event_ms", std::to_string(toMilliseconds(*fields.firstEvent)));
  }
  if (fields.longestPause) {
    writer.number("longest_pause_ms", std::to_string(toMilliseconds(*fields.longestPause)));
  }
  writer.text("late_cause", fields.lateCause);
  if (fields.tableAge) {
    writer.number("table_age_ms", std::to_string(toMilliseconds(*fields.tableAge)));
  }
  if (fields.sends) {
    writer.number("sends", std::to_string(*fields.sends));
  }
  writer.text("attempts", fields.attempts, kMaximumAttemptsBytes);
  if (fields.fingerprint) {
    writer.text("fingerprint", hexText(*fields.fingerprint));
  }
  std::string parts;
  for (size_t index = 0; index < std::min(fields.parts.size(), kMaximumParts); ++index) {
    parts += (index == 0 ? "" : " ") + hexText(fields.parts[index]);
  }
  writer.text("parts", parts);
  if (fields.leftOut > 0) {
    writer.number("left_out", std::to_string(fields.leftOut));
  }
  return writer.take();
}

void startLog(const LogOptions& options, NodeId node) {
  ProgramLog& log = programLog();
  spdlog::init_thread_pool(options.queuedLines, 1);
  log.logger = spdlog::create_async_nb<spdlog::sinks::stderr_sink_mt>("fernmoor");
  log.logger->set_level(toSpdlog(options.level));
  log.logger->set_pattern(options.format == LogFormat::kJson ? kJsonPattern : kTextPattern,
                          spdlog::pattern_time_type::utc);
  log.format = options.format;
  log.node = node;
}

void stopLog() {
  programLog().logger.reset();
  spdlog::shutdown();  // Joins the writing thread after it wrote what was queued.
}

bool logEnabled(LogLevel level) {
  const auto& logger = programLog().logger;
  return logger != nullptr && logger->should_log(toSpdlog(level));
}

void logEvent(LogLevel level, std::string_view message, const LogFields& fields) {
  if (!logEnabled(level)) {
    return;
  }
  const ProgramLog& log = programLog();
  const std::string payload = formatLogPayload(log.format, log.node, message, fields);
  log.logger->log(toSpdlog(level), spdlog::string_view_t(payload.data(), payload.size()));
}

}  // namespace fernmoor
