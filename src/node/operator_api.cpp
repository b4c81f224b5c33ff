#include "node/operator_api.h"

#include <Poco/JSON/Array.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include "http/json_text.h"
#include "node/http_reply.h"
#include "node/operator_table.h"

namespace fernmoor {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr const char* kVersionText = "0.1.0";
constexpr const char* kExplainPath = "/operator/explain/";
constexpr double kMillisecondsPerSecond = 1000;

const char* nameOf(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDraining:
      return "draining";
    case MemberState::kDead:
      return "dead";
  }
  return "dead";
}

const char* nameOf(EngineStatus status) {
  switch (status) {
    case EngineStatus::kLive:
      return "live";
    case EngineStatus::kLoading:
      return "loading";
    case EngineStatus::kLeaving:
      return "leaving";
    case EngineStatus::kSuspect:
      return "suspect";
    case EngineStatus::kDead:
      return "dead";
  }
  return "dead";
}

Error notFound(const std::string& what) {
  return Error{ErrorKind::kNotFound, what, RunState::kNotRun, std::nullopt};
}

Poco::UInt64 number(uint64_t value) {
  return value;
}

OperatorReply listReply(const std::string& name, const Array::Ptr& list) {
  OperatorReply reply;
  reply.body = new Object;
  reply.body->set(name, list);
  return reply;
}

std::string queryValue(const Poco::URI& uri, const std::string& name) {
  for (const auto& [key, value] : uri.getQueryParameters()) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

TableVersion versionFrom(const std::string& text) {
  Poco::UInt64 value = 0;
  Poco::NumberParser::tryParseUnsigned64(text, value);
  return TableVersion(value);
}

Object::Ptr attemptObject(const AttemptRecord& attempt) {
  Object::Ptr object = new Object;
  object->set("attempt", attempt.attempt.value());
  object->set("engine", attempt.engine.value());
  object->set("reason", attempt.reason);
  object->set("expected_ms", attempt.expectedSeconds * kMillisecondsPerSecond);
  object->set("result", attempt.result);
  Array::Ptr considered = new Array;
  for (const ConsideredEngine& engine : attempt.considered) {
    Object::Ptr entry = new Object;
    entry->set("engine", engine.engine.value());
    entry->set("matched_blocks", engine.matchedBlocks);
    entry->set("expected_ms", engine.expectedSeconds * kMillisecondsPerSecond);
    considered->add(entry);
  }
  object->set("considered", considered);
  return object;
}

}  // namespace

void OperatorHandler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                    Poco::Net::HTTPServerResponse& response) {
  if (!services_.node.keys.isOperator(bearerKeyOf(request))) {
    response.setKeepAlive(false);
    sendError(response,
              Error{ErrorKind::kUnauthorized,
                    "this needs an operator's key; send Authorization: Bearer KEY.",
                    RunState::kNotRun, std::nullopt},
              RequestId());
    return;
  }
  const Result<OperatorReply> reply = serve(request);
  if (!isOk(reply)) {
    sendError(response, errorOf(reply), RequestId());
    return;
  }
  sendJson(response, toText(*valueOf(reply).body), valueOf(reply).status);
}

Result<OperatorReply> OperatorHandler::serve(Poco::Net::HTTPServerRequest& request) {
  const Poco::URI uri(request.getURI());
  const std::string& path = uri.getPath();
  const bool isPost = request.getMethod() == Poco::Net::HTTPRequest::HTTP_POST;
  if (isPost) {
    const Result<std::string> body =
        readBody(request, services_.node.knobs.maxBodyBytes, services_.node.knobs.bodyTimeout,
                 services_.node.clock);
    if (!isOk(body)) {
      return errorOf(body);
    }
    if (path == "/operator/table") {
      return changeTable(services_, valueOf(body));
    }
    if (path == "/operator/drain") {
      return drain(valueOf(body));
    }
    return notFound("there is nothing to post at " + path + "; see docs/OPERATIONS.md.");
  }
  if (path == "/operator/table") {
    return readTable(
        *services_.node.table.current(),
        RowFilter{ServiceId(queryValue(uri, "service")), TenantId(queryValue(uri, "tenant"))});
  }
  if (path == "/operator/table/history") {
    return tableHistory(services_, versionFrom(queryValue(uri, "after")));
  }
  if (path == "/operator/nodes") {
    return nodes();
  }
  if (path == "/operator/engines") {
    return engines();
  }
  if (path == "/operator/top") {
    return top();
  }
  if (path == "/operator/version") {
    return version();
  }
  const std::string explainPath = kExplainPath;
  if (path.compare(0, explainPath.size(), explainPath) == 0) {
    return explain(path.substr(explainPath.size()));
  }
  return notFound("there is nothing at " + path + "; see docs/OPERATIONS.md.");
}

Result<OperatorReply> OperatorHandler::nodes() {
  Array::Ptr list = new Array;
  for (const Member& member : services_.membership.members()) {
    Object::Ptr entry = new Object;
    entry->set("node_id", member.life.node.value());
    entry->set("incarnation", number(member.life.incarnation.value()));
    entry->set("zone", member.zone.value());
    entry->set("region", member.region.value());
    entry->set("peer", formatSocketAddress(member.peerAddress));
    entry->set("http", formatSocketAddress(member.httpAddress));
    entry->set("state", nameOf(member.state));
    entry->set("table_version", number(member.tableVersion.value()));
    list->add(entry);
  }
  return listReply("nodes", list);
}

Result<OperatorReply> OperatorHandler::engines() {
  const Time now = services_.node.clock.now();
  Array::Ptr list = new Array;
  for (const EngineState& engine : services_.node.engines.all(now)) {
    Object::Ptr entry = new Object;
    entry->set("id", engine.id.value());
    entry->set("zone", engine.zone.value());
    entry->set("address", formatSocketAddress(engine.address));
    entry->set("incarnation", number(engine.incarnation.value()));
    entry->set("model", engine.model.value());
    entry->set("weights_version", number(engine.weightsVersion.value()));
    entry->set("status", nameOf(engine.status));
    const auto owner = services_.ownership.ownerOf(engine.id);
    entry->set("owner", owner ? Poco::Dynamic::Var(owner->value()) : Poco::Dynamic::Var());
    entry->set("queued_prefill_tokens", engine.load.queuedPrefillTokens);
    entry->set("running_streams", engine.load.runningStreams);
    entry->set("max_streams", engine.load.maxStreams);
    const auto view = services_.owned.viewOf(engine.id);
    if (view) {
      entry->set("view_blocks", number(view->blocks));
      entry->set("view_age_ms", toMilliseconds(now - view->updatedAt));
    }
    list->add(entry);
  }
  return listReply("engines", list);
}

Result<OperatorReply> OperatorHandler::explain(const std::string& request) {
  const auto record = services_.node.requestLog.find(RequestId(request));
  if (!record) {
    return notFound("this node has no record of request " + request +
                    "; ask the node that served it, soon after.");
  }
  OperatorReply reply;
  reply.body = new Object;
  reply.body->set("request", record->request.value());
  reply.body->set("tenant", record->row.tenant.value());
  reply.body->set("service", record->row.service.value());
  reply.body->set("outcome", record->refusal ? "refused" : "answered");
  reply.body->set("run", toString(record->runState));
  reply.body->set("queue_ms", toMilliseconds(record->queued));
  reply.body->set("total_ms", toMilliseconds(record->total));
  reply.body->set("prompt_tokens", record->promptTokens);
  reply.body->set("cached_tokens", record->cachedTokens);
  if (record->refusal) {
    reply.body->set("refused_by",
                    std::string(toString(record->refusal->kind)) + ": " + record->refusal->message);
  }
  Array::Ptr attempts = new Array;
  for (const AttemptRecord& attempt : record->attempts) {
    attempts->add(attemptObject(attempt));
  }
  reply.body->set("attempts", attempts);
  return reply;
}

Result<OperatorReply> OperatorHandler::drain(const std::string& body) {
  const auto parsed = parseJsonObject(body);
  if (!isOk(parsed)) {
    return errorOf(parsed);
  }
  const std::string kind = stringMember(*valueOf(parsed), "kind");
  const std::string id = stringMember(*valueOf(parsed), "id");
  OperatorReply reply;
  reply.body = new Object;
  if (kind == "engine") {
    if (!services_.node.engines.find(EngineId(id), services_.node.clock.now())) {
      return notFound("there is no engine " + id + "; see fernmoorctl engines.");
    }
    services_.node.engines.setDrained(EngineId(id), true);
    return reply;
  }
  if (kind != "node") {
    return Error{ErrorKind::kInvalidRequest, "kind is \"" + kind + "\"; give node or engine.",
                 RunState::kNotRun, std::nullopt};
  }
  if (id != std::to_string(services_.node.self.node.value())) {
    return notFound("this is node " + std::to_string(services_.node.self.node.value()) +
                    "; send the order to node " + id + " itself (--node).");
  }
  services_.drainNode();
  return reply;
}

Result<OperatorReply> OperatorHandler::top() {
  Array::Ptr list = new Array;
  for (const ClassRates& rates : services_.latestRates()) {
    Object::Ptr entry = new Object;
    entry->set("service", rates.requestClass.service.value());
    entry->set("tenant", rates.requestClass.tenant.value());
    entry->set("requests_per_second", rates.requestsPerSecond);
    entry->set("refused_per_second", rates.refusedPerSecond);
    entry->set("hit_rate", rates.hitRate);
    entry->set("ttft_p50_ms", rates.firstTokenMedianMilliseconds);
    entry->set("ttft_p95_ms", rates.firstToken95Milliseconds);
    entry->set("recomputed_tokens_per_second", rates.recomputedTokensPerSecond);
    list->add(entry);
  }
  OperatorReply reply = listReply("classes", list);
  reply.body->set("interval_s", toSeconds(services_.rateInterval));
  return reply;
}

Result<OperatorReply> OperatorHandler::version() {
  OperatorReply reply;
  reply.body = new Object;
  reply.body->set("version", kVersionText);
  reply.body->set("node_id", services_.node.self.node.value());
  reply.body->set("incarnation", number(services_.node.self.incarnation.value()));
  reply.body->set("table_version", number(services_.node.table.version().value()));
  return reply;
}

}  // namespace fernmoor
