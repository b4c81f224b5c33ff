/// @file
/// Client of the model engines' protocol (docs/PROTOCOL-ENGINE.md).
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "common/error.h"
#include "engine/cache_event.h"
#include "engine/engine_state.h"
#include "http/http_client.h"

namespace fernmoor {

/// An attempt's request to an engine.
struct GenerateRequest {
  AttemptId attempt;
  RequestId request;
  TenantId tenant;
  ModelId model;
  AdapterId adapter;
  Placement placement;
  int64_t priority = 5;
  std::string prompt;
  int64_t firstPosition = 0;  ///< Output tokens that the caller already has.
  int64_t maxTokens = 0;      ///< Length of the whole answer.
};

/// A piece of an attempt's output.
struct AttemptFrame {
  int64_t position = 0;  ///< Of the first token, in the whole answer.
  int64_t tokens = 0;
  std::string text;
  bool end = false;
  int64_t promptTokens = 0;  ///< 0 if the frame does not report it.
  int64_t cachedTokens = 0;
};

using AttemptRead = std::variant<AttemptFrame, StreamQuiet, StreamInterrupted, StreamClosed>;

/// Output of one attempt. Not thread-safe.
class AttemptStream {
 public:
  explicit AttemptStream(std::unique_ptr<EventStream> events) : events_(std::move(events)) {}
  /// Waits for a frame; see EventStream::next. A malformed frame closes the stream.
  AttemptRead next(Duration timeout, const Poco::Net::Socket* other);

 private:
  std::unique_ptr<EventStream> events_;
};

/// Thread-safe.
class EngineClient {
 public:
  explicit EngineClient(HttpClient& http) : http_(http) {}

  /// Starts an attempt. Errors: the one the engine returned (kWrongIncarnation, kWrongWeights,
  /// kNotFound, kConflict, kUnavailable), with runState kNotRun if the engine reports so or no
  /// byte was sent, else kUnknown.
  Result<std::unique_ptr<AttemptStream>> generate(const GenerateRequest& request, Duration timeout);
  /// Resumes an attempt on the same incarnation.
  Result<std::unique_ptr<AttemptStream>> resume(const Placement& placement,
                                                const AttemptId& attempt, int64_t position,
                                                Duration timeout);
  /// Stops an attempt; failures are ignored, since engines drop attempts without a reader.
  void cancel(const SocketAddress& address, const AttemptId& attempt);

  /// @return state and load; zone and address are copied from `known`.
  Result<EngineState> state(const EngineState& known, Time now);
  /// Waits up to `wait` for events after the sequence number.
  Result<CacheEventBatch> events(const SocketAddress& address, Incarnation incarnation,
                                 uint64_t after, Duration wait);

 private:
  Result<std::unique_ptr<AttemptStream>> openAttempt(const HttpCall& call);

  HttpClient& http_;
};

}  // namespace fernmoor
