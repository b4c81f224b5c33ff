#include "standin/engine_messages.h"

#include "standin/json_client.h"

namespace fernmoor::standin {

namespace {

constexpr int64_t kDefaultPriority = 5;
constexpr int64_t kDefaultMaxTokens = 16;
/// Longest answer, so that one request cannot hold a slot for ever.
constexpr int64_t kMostTokens = 100000;

uint64_t unsignedField(const JsonObject::Ptr& object, const std::string& name) {
  return static_cast<uint64_t>(numberField(object, name));
}

Error invalid(std::string message) {
  return Error{ErrorKind::kInvalidRequest, std::move(message), RunState::kNotRun, std::nullopt};
}

const char* eventKindText(CacheEventKind kind) {
  switch (kind) {
    case CacheEventKind::kStored:
      return "stored";
    case CacheEventKind::kRemoved:
      return "removed";
    case CacheEventKind::kCleared:
      return "cleared";
  }
  return "cleared";
}

JsonObject::Ptr loadJson(const EngineLoad& load, Time now) {
  JsonObject::Ptr body = newObject();
  body->set("queued_prefill_tokens", load.queuedPrefillTokens);
  body->set("running_streams", load.runningStreams);
  body->set("waiting_requests", load.waitingRequests);
  body->set("max_streams", load.maxStreams);
  body->set("prefill_tokens_per_second", static_cast<int64_t>(load.prefillTokensPerSecond));
  body->set("token_interval_us", static_cast<int64_t>(load.tokenInterval.count()));
  body->set("age_us", static_cast<int64_t>((now - load.measuredAt).count()));
  return body;
}

}  // namespace

EngineRole parseRole(const std::string& text) {
  if (text == "prefill") {
    return EngineRole::kPrefill;
  }
  return text == "decode" ? EngineRole::kDecode : EngineRole::kMixed;
}

std::string roleText(EngineRole role) {
  switch (role) {
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
    case EngineRole::kMixed:
      return "mixed";
  }
  return "mixed";
}

Result<EngineRequest> parseEngineRequest(const std::string& body) {
  const auto parsed = parseObject(body);
  if (!isOk(parsed)) {
    return errorOf(parsed);
  }
  const JsonObject::Ptr& object = valueOf(parsed);
  EngineRequest request;
  request.attempt = AttemptId(textField(object, "attempt"));
  request.request = RequestId(textField(object, "request"));
  request.tenant = TenantId(textField(object, "tenant"));
  request.model = ModelId(textField(object, "model"));
  request.adapter = AdapterId(textField(object, "adapter"));
  request.placedIncarnation = Incarnation(unsignedField(object, "incarnation"));
  request.placedWeights = WeightsVersion(unsignedField(object, "weights_version"));
  request.priority = numberField(object, "priority", kDefaultPriority);
  request.prompt = textField(object, "prompt");
  request.firstPosition = numberField(object, "first_position");
  request.maxTokens = numberField(object, "max_tokens", kDefaultMaxTokens);
  if (request.attempt.empty()) {
    return invalid("The field \"attempt\" is missing. Give each attempt an id of its own.");
  }
  if (request.firstPosition < 0 || request.maxTokens < 0 || request.maxTokens > kMostTokens) {
    return invalid("\"first_position\" or \"max_tokens\" is out of range. Keep both within 0 to " +
                   std::to_string(kMostTokens) + ".");
  }
  return request;
}

Result<EngineOrder> parseEngineOrder(const std::string& body) {
  const auto parsed = parseObject(body);
  if (!isOk(parsed)) {
    return errorOf(parsed);
  }
  const JsonObject::Ptr& object = valueOf(parsed);
  EngineOrder order;
  order.token = FencingToken(unsignedField(object, "token"));
  order.incarnation = Incarnation(unsignedField(object, "incarnation"));
  order.model = ModelId(textField(object, "model"));
  order.adapter = AdapterId(textField(object, "adapter"));
  order.weightsVersion = WeightsVersion(unsignedField(object, "weights_version"));
  order.role = parseRole(textField(object, "role"));
  if (order.token == FencingToken() || order.model.empty()) {
    return invalid("An order needs \"token\" (from 1) and \"model\". Send both.");
  }
  return order;
}

Result<Done> applyOrder(EngineModel& model, const EngineOrder& order, Time now) {
  if (order.incarnation != Incarnation() && order.incarnation != model.incarnation()) {
    return Error{ErrorKind::kWrongIncarnation,
                 "The engine restarted since. Read its state and order anew.", RunState::kNotRun,
                 std::nullopt};
  }
  return model.order(order.token, order.model, order.adapter, order.weightsVersion, order.role,
                     now);
}

bool sendFrame(HttpExchange& exchange, const EngineFrame& frame, bool first) {
  if (frame.tokens > 0) {
    JsonObject::Ptr event = newObject();
    event->set("position", frame.position);
    event->set("tokens", frame.tokens);
    event->set("text", frame.text);
    if (first) {
      event->set("prompt_tokens", frame.promptTokens);
      event->set("cached_tokens", frame.cachedTokens);
    }
    if (!exchange.sendEvent(event)) {
      return false;
    }
  }
  if (!frame.end) {
    return true;
  }
  JsonObject::Ptr event = newObject();
  event->set("position", frame.position + frame.tokens);
  event->set("tokens", 0);
  event->set("text", "");
  event->set("end", true);
  return exchange.sendEvent(event);
}

JsonObject::Ptr engineStateJson(const EngineModel& model, Time now) {
  const EngineOptions& options = model.options();
  JsonArray::Ptr adapters = new JsonArray;
  for (const AdapterId& adapter : options.adapters) {
    adapters->add(adapter.value());
  }
  JsonObject::Ptr body = newObject();
  body->set("id", options.id.value());
  body->set("incarnation", options.incarnation.value());
  body->set("model", options.model.value());
  body->set("adapters", adapters);
  body->set("weights_version", options.weightsVersion.value());
  body->set("role", roleText(options.role));
  body->set("status", model.status(now) == EngineStatus::kLoading ? "loading" : "live");
  body->set("highest_fencing_token", model.highestFencingToken().value());
  body->set("event_sequence", model.lastEventSequence());
  body->set("load", loadJson(model.load(now), now));
  return body;
}

JsonObject::Ptr eventBatchJson(const CacheEventBatch& batch) {
  JsonArray::Ptr events = new JsonArray;
  for (const CacheEvent& event : batch.events) {
    JsonObject::Ptr item = newObject();
    item->set("sequence", event.sequence);
    item->set("kind", eventKindText(event.kind));
    item->set("block", blockText(event.block));
    events->add(item);
  }
  JsonObject::Ptr body = newObject();
  body->set("incarnation", batch.incarnation.value());
  body->set("gap", batch.gap);
  body->set("events", events);
  return body;
}

JsonObject::Ptr engineRunsJson(const std::vector<EngineRun>& runs) {
  JsonArray::Ptr list = new JsonArray;
  for (const EngineRun& run : runs) {
    JsonObject::Ptr item = newObject();
    item->set("attempt", run.attempt.value());
    item->set("request", run.request.value());
    item->set("tenant", run.tenant.value());
    item->set("incarnation", run.incarnation.value());
    item->set("first_position", run.firstPosition);
    item->set("tokens", run.tokens);
    item->set("prompt_tokens", run.promptTokens);
    item->set("cached_tokens", run.cachedTokens);
    item->set("ended", run.ended);
    list->add(item);
  }
  JsonObject::Ptr body = newObject();
  body->set("runs", list);
  return body;
}

Result<std::vector<BlockHash>> fetchBlocks(const std::string& body) {
  const auto parsed = parseObject(body);
  if (!isOk(parsed)) {
    return errorOf(parsed);
  }
  const auto source = parseAddress(textField(valueOf(parsed), "source"));
  if (!isOk(source)) {
    return errorOf(source);
  }
  JsonCall request;
  request.address = valueOf(source);
  request.path = "/v1/kv/export";
  request.body = newObject();
  request.body->set("blocks", toArray(blocksField(valueOf(parsed), "blocks")));
  auto answer = call(request);
  if (isOk(answer) && valueOf(answer).status == httpStatus(ErrorKind::kNotFound)) {
    request.path = "/v1/kv/fetch";  // The source is a KV store.
    answer = call(request);
  }
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  return blocksField(valueOf(answer).body, "blocks");
}

Result<Done> storeBlocks(const SocketAddress& store, const std::vector<BlockHash>& blocks) {
  JsonCall request;
  request.address = store;
  request.path = "/v1/kv/store";
  request.body = newObject();
  request.body->set("blocks", toArray(blocks));
  const auto answer = call(request);
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  return Done{};
}

}  // namespace fernmoor::standin
