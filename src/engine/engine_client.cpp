#include "engine/engine_client.h"

#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>

#include "http/json_text.h"

namespace fernmoor {

namespace {

constexpr Duration kControlTimeout{1000000};
/// Added to a long poll's wait before the connection is considered broken.
constexpr Duration kLongPollMargin{1000000};
/// Thousands of cache events, some hundred bytes each.
constexpr size_t kMaxEventBatchBytes = 16U << 20U;

ErrorKind kindOf(const std::string& name, int status) {
  for (const ErrorKind kind : {ErrorKind::kWrongIncarnation, ErrorKind::kWrongWeights,
                               ErrorKind::kNotFound, ErrorKind::kConflict, ErrorKind::kUnavailable,
                               ErrorKind::kInvalidRequest, ErrorKind::kTooLarge}) {
    if (name == toString(kind)) {
      return kind;
    }
  }
  return status == 404 ? ErrorKind::kNotFound : ErrorKind::kUnavailable;
}

/// Uses the engine's own error message if it sent one.
Error refusalOf(const HttpAnswer& answer) {
  Error error{ErrorKind::kUnavailable,
              "the engine answered with HTTP status " + std::to_string(answer.status) + ".",
              RunState::kUnknown, std::nullopt};
  const auto parsed = parseJsonObject(answer.body);
  if (!isOk(parsed)) {
    return error;
  }
  const auto& object = *valueOf(parsed);
  error.kind = kindOf(stringMember(object, "kind"), answer.status);
  error.message = stringMember(object, "message", error.message);
  if (stringMember(object, "run") == toString(RunState::kNotRun)) {
    error.runState = RunState::kNotRun;
  }
  return error;
}

Error failureOf(const HttpFailure& failure) {
  const bool sent = failure.progress != CallProgress::kNotSent;
  return Error{ErrorKind::kUnavailable, "the engine did not answer: " + failure.detail + ".",
               sent ? RunState::kUnknown : RunState::kNotRun, std::nullopt};
}

std::string generateBody(const GenerateRequest& request) {
  std::string body = "{\"attempt\":";
  appendJsonString(body, request.attempt.value());
  body += ",\"request\":";
  appendJsonString(body, request.request.value());
  body += ",\"tenant\":";
  appendJsonString(body, request.tenant.value());
  body += ",\"model\":";
  appendJsonString(body, request.model.value());
  body += ",\"adapter\":";
  appendJsonString(body, request.adapter.value());
  body += ",\"incarnation\":" + std::to_string(request.placement.incarnation.value());
  body += ",\"weights_version\":" + std::to_string(request.placement.weightsVersion.value());
  body += ",\"priority\":" + std::to_string(request.priority);
  body += ",\"first_position\":" + std::to_string(request.firstPosition);
  body += ",\"max_tokens\":" + std::to_string(request.maxTokens);
  body += ",\"prompt\":";
  appendJsonString(body, request.prompt);
  body += "}";
  return body;
}

EngineRole roleOf(const std::string& name) {
  if (name == "prefill") {
    return EngineRole::kPrefill;
  }
  return name == "decode" ? EngineRole::kDecode : EngineRole::kMixed;
}

EngineLoad loadOf(const Poco::JSON::Object& object, Time now) {
  EngineLoad load;
  load.queuedPrefillTokens = integerMember(object, "queued_prefill_tokens");
  load.runningStreams = integerMember(object, "running_streams");
  load.waitingRequests = integerMember(object, "waiting_requests");
  load.maxStreams = integerMember(object, "max_streams");
  load.prefillTokensPerSecond =
      static_cast<double>(integerMember(object, "prefill_tokens_per_second"));
  load.tokenInterval = Duration(integerMember(object, "token_interval_us"));
  load.measuredAt = now - Duration(integerMember(object, "age_us"));
  return load;
}

CacheEvent eventOf(const Poco::JSON::Object& object) {
  CacheEvent event;
  event.sequence = static_cast<uint64_t>(integerMember(object, "sequence"));
  const std::string kind = stringMember(object, "kind");
  if (kind == "removed") {
    event.kind = CacheEventKind::kRemoved;
  } else if (kind == "cleared") {
    event.kind = CacheEventKind::kCleared;
  }
  Poco::UInt64 block = 0;
  Poco::NumberParser::tryParseHex64(stringMember(object, "block", "0"), block);
  event.block = block;
  return event;
}

}  // namespace

AttemptRead AttemptStream::next(Duration timeout, const Poco::Net::Socket* other) {
  StreamRead read = events_->next(timeout, other);
  if (std::holds_alternative<StreamQuiet>(read)) {
    return StreamQuiet{};
  }
  if (std::holds_alternative<StreamInterrupted>(read)) {
    return StreamInterrupted{};
  }
  if (std::holds_alternative<StreamClosed>(read)) {
    return StreamClosed{};
  }
  const auto parsed = parseJsonObject(std::get<StreamEvent>(read).data);
  if (!isOk(parsed)) {
    return StreamClosed{};
  }
  const auto& object = *valueOf(parsed);
  AttemptFrame frame;
  frame.position = integerMember(object, "position", -1);
  frame.tokens = integerMember(object, "tokens");
  frame.text = stringMember(object, "text");
  frame.end = booleanMember(object, "end");
  frame.promptTokens = integerMember(object, "prompt_tokens");
  frame.cachedTokens = integerMember(object, "cached_tokens");
  return frame;
}

Result<std::unique_ptr<AttemptStream>> EngineClient::openAttempt(const HttpCall& call) {
  StreamOutcome outcome = http_.open(call);
  if (auto* stream = std::get_if<std::unique_ptr<EventStream>>(&outcome)) {
    return std::make_unique<AttemptStream>(std::move(*stream));
  }
  if (const auto* answer = std::get_if<HttpAnswer>(&outcome)) {
    return refusalOf(*answer);
  }
  return failureOf(std::get<HttpFailure>(outcome));
}

Result<std::unique_ptr<AttemptStream>> EngineClient::generate(const GenerateRequest& request,
                                                              Duration timeout) {
  HttpCall call;
  call.address = request.placement.address;
  call.method = "POST";
  call.path = "/v1/generate";
  call.body = generateBody(request);
  call.timeout = timeout;
  return openAttempt(call);
}

Result<std::unique_ptr<AttemptStream>> EngineClient::resume(const Placement& placement,
                                                            const AttemptId& attempt,
                                                            int64_t position, Duration timeout) {
  HttpCall call;
  call.address = placement.address;
  call.method = "POST";
  call.path = "/v1/resume";
  call.body = "{\"attempt\":";
  appendJsonString(call.body, attempt.value());
  call.body += ",\"incarnation\":" + std::to_string(placement.incarnation.value());
  call.body += ",\"position\":" + std::to_string(position) + "}";
  call.timeout = timeout;
  return openAttempt(call);
}

void EngineClient::cancel(const SocketAddress& address, const AttemptId& attempt) {
  HttpCall call;
  call.address = address;
  call.method = "POST";
  call.path = "/v1/cancel";
  call.body = "{\"attempt\":";
  appendJsonString(call.body, attempt.value());
  call.body += "}";
  call.timeout = kControlTimeout;
  http_.call(call);
}

Result<EngineState> EngineClient::state(const EngineState& known, Time now) {
  HttpCall call;
  call.address = known.address;
  call.path = "/v1/state";
  call.timeout = kControlTimeout;
  const auto answer = callJson(http_, call);
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  const auto& object = *valueOf(answer);
  EngineState state = known;
  state.incarnation = Incarnation(static_cast<uint64_t>(integerMember(object, "incarnation")));
  state.model = ModelId(stringMember(object, "model"));
  state.weightsVersion =
      WeightsVersion(static_cast<uint64_t>(integerMember(object, "weights_version")));
  state.role = roleOf(stringMember(object, "role"));
  state.status =
      stringMember(object, "status") == "live" ? EngineStatus::kLive : EngineStatus::kLoading;
  state.adapters.clear();
  if (const auto adapters = object.getArray("adapters")) {
    for (size_t i = 0; i < adapters->size(); ++i) {
      state.adapters.emplace_back(adapters->getElement<std::string>(static_cast<unsigned>(i)));
    }
  }
  if (const auto load = object.getObject("load")) {
    state.load = loadOf(*load, now);
  }
  return state;
}

Result<CacheEventBatch> EngineClient::events(const SocketAddress& address, Incarnation incarnation,
                                             uint64_t after, Duration wait) {
  HttpCall call;
  call.address = address;
  call.path = "/v1/events?incarnation=" + std::to_string(incarnation.value()) +
              "&after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count() / 1000);
  call.timeout = wait + kLongPollMargin;
  call.mostAnswerBytes = kMaxEventBatchBytes;
  const auto answer = callJson(http_, call);
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  const auto& object = *valueOf(answer);
  CacheEventBatch batch;
  batch.incarnation = Incarnation(static_cast<uint64_t>(integerMember(object, "incarnation")));
  batch.gap = booleanMember(object, "gap");
  if (const auto events = object.getArray("events")) {
    batch.events.reserve(events->size());
    for (size_t i = 0; i < events->size(); ++i) {
      if (const auto event = events->getObject(static_cast<unsigned>(i))) {
        batch.events.push_back(eventOf(*event));
      }
    }
  }
  return batch;
}

}  // namespace fernmoor
