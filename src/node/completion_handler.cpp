#include "node/completion_handler.h"

#include "http/json_text.h"
#include "node/completion_sink.h"
#include "node/engine_chooser.h"
#include "node/http_reply.h"
#include "relay/stream_relay.h"

namespace fernmoor {

namespace {

constexpr int64_t kMicrosecondsPerSecond = 1000000;
constexpr Duration kNoTableRetryAfter{2000000};

Error unknownModel(const std::string& model) {
  return Error{ErrorKind::kNotFound,
               "there is no model or service \"" + model +
                   "\" for this key; GET /v1/models lists "
                   "what there is.",
               RunState::kNotRun, std::nullopt};
}

Error disabledRow() {
  return Error{ErrorKind::kForbidden,
               "the service is switched off for this tenant; ask the operators to enable its row.",
               RunState::kNotRun, std::nullopt};
}

/// The tenant's row that is named by service, or else the first that uses the model of that name.
const Row* findModelRow(const TableSnapshot& table, const TenantId& tenant,
                        const std::string& name) {
  const Row* named = table.find(RowKey{ServiceId(name), tenant});
  if (named != nullptr) {
    return named->backEnd == BackEndKind::kModel ? named : nullptr;
  }
  for (const Row* row : table.rowsOfTenant(tenant)) {
    if (row->backEnd == BackEndKind::kModel && row->model.value() == name) {
      return row;
    }
  }
  return nullptr;
}

AnswerFacts factsOf(const NodeServices& services, const RequestId& id, const std::string& model,
                    CompletionShape shape) {
  AnswerFacts facts;
  facts.request = id;
  facts.model = model;
  facts.shape = shape;
  facts.createdSeconds = services.clock.wallMicroseconds() / kMicrosecondsPerSecond;
  return facts;
}

FlowLimits flowLimitsOf(const Knobs& knobs, const Row& row, int64_t maxTokens) {
  FlowLimits limits;
  limits.deadline = row.deadline;
  limits.repeatable = row.repeatable;
  limits.maxTokens = maxTokens;
  return limits;
}

/// A stream that another node began can only be continued where it is: no engine is chosen.
class NoPlacer : public EnginePlacer {
 public:
  Result<PlacedAttempt> place(const std::vector<EngineId>& excluded) override {
    return Error{ErrorKind::kNotFound, "the stream is gone; send the request again.",
                 RunState::kUnknown, std::nullopt};
  }
  void reportFailure(const Placement& placement, const Error& error) override {}
  void reportCacheHit(const Placement& placement, const AttemptFrame& firstFrame) override {}
  void reportEnded(const Placement& placement) override {}
};

}  // namespace

Result<TenantId> authenticateCaller(const NodeServices& services,
                                    const Poco::Net::HTTPServerRequest& request) {
  const std::optional<TenantId> tenant = services.keys.tenantOf(bearerKeyOf(request));
  if (!tenant) {
    return Error{ErrorKind::kUnauthorized,
                 "the key is missing or unknown; send Authorization: Bearer KEY.",
                 RunState::kNotRun, std::nullopt};
  }
  return *tenant;
}

Result<Table::Snapshot> tableInForce(const NodeServices& services) {
  Table::Snapshot table = services.table.current();
  if (table->version() == TableVersion(0) || !services.tableRole.ready()) {
    return Error{ErrorKind::kUnavailable,
                 "no table is in force on this node yet; use another node or come back later.",
                 RunState::kNotRun, kNoTableRetryAfter};
  }
  return table;
}

void CompletionHandler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                      Poco::Net::HTTPServerResponse& response) {
  const RequestId id = services_.requestIds.next();
  const Result<TenantId> tenant = authenticateCaller(services_, request);
  if (!isOk(tenant)) {
    response.setKeepAlive(false);
    sendError(response, errorOf(tenant), id);
    return;
  }
  serve(request, response, valueOf(tenant), id);
}

void CompletionHandler::serve(Poco::Net::HTTPServerRequest& request,
                              Poco::Net::HTTPServerResponse& response, const TenantId& tenant,
                              const RequestId& id) {
  const Result<std::string> body =
      readBody(request, services_.knobs.maxBodyBytes, services_.knobs.bodyTimeout, services_.clock);
  if (!isOk(body)) {
    sendError(response, errorOf(body), id);
    return;
  }
  const Result<CompletionRequest> parsed =
      parseCompletionRequest(valueOf(body), shape_, services_.knobs.maxOutputTokens);
  if (!isOk(parsed)) {
    sendError(response, errorOf(parsed), id);
    return;
  }
  const CompletionRequest& completion = valueOf(parsed);
  const Result<Table::Snapshot> table = tableInForce(services_);
  if (!isOk(table)) {
    sendError(response, errorOf(table), id);
    return;
  }
  const Row* row = findModelRow(*valueOf(table), tenant, completion.model);
  if (row == nullptr) {
    sendError(response, unknownModel(completion.model), id);
    return;
  }
  if (!row->enabled) {
    sendError(response, disabledRow(), id);
    return;
  }
  relay(request, response, *row, completion, id);
}

void CompletionHandler::relay(Poco::Net::HTTPServerRequest& request,
                              Poco::Net::HTTPServerResponse& response, const Row& row,
                              const CompletionRequest& completion, const RequestId& id) {
  RelayRequest relayRequest;
  relayRequest.id = id;
  relayRequest.tenant = row.key.tenant;
  relayRequest.model = row.model;
  relayRequest.adapter = row.adapter;
  relayRequest.priority = row.priority;
  relayRequest.prompt = completion.prompt;
  relayRequest.maxTokens = completion.maxTokens;
  EngineChooser chooser(services_.engines, services_.policy, services_.knowledge, services_.clock,
                        row, relayRequest, Random(services_.requestIds.seedOf(id)));
  CompletionSink sink(request, response, services_.streamTokens, row.key.tenant,
                      factsOf(services_, id, completion.model, shape_), completion.stream);
  StreamRelay relay(services_.engineClient, services_.clock, chooser, sink, relayRequest,
                    flowLimitsOf(services_.knobs, row, completion.maxTokens));
  RequestRecord record;
  record.request = id;
  record.row = row.key;
  AdmissionRequest admission = admissionRequestOf(row, services_.clock.now());
  const auto pass = services_.gate.enter(admission, [&sink] { return sink.callerGone(); });
  if (isOk(pass)) {
    record.queued = valueOf(pass)->waited();
    relay.run(record);
  } else {
    record.refusal = errorOf(pass);
    sink.refuse(errorOf(pass));
  }
  services_.measures.noteEnded(record);
  services_.requestLog.add(std::move(record));
}

void StreamHandler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                  Poco::Net::HTTPServerResponse& response) {
  const RequestId id = services_.requestIds.next();
  const Result<TenantId> tenant = authenticateCaller(services_, request);
  if (!isOk(tenant)) {
    sendError(response, errorOf(tenant), id);
    return;
  }
  const Result<StreamToken> opened = services_.streamTokens.open(streamId_, valueOf(tenant));
  if (!isOk(opened)) {
    sendError(response, errorOf(opened), id);
    return;
  }
  const StreamToken& token = valueOf(opened);
  CompletionSink sink(request, response, services_.streamTokens, token.tenant,
                      factsOf(services_, token.request, token.model, CompletionShape::kCompletion),
                      true);
  NoPlacer placer;
  FlowLimits limits;
  limits.maxTokens = services_.knobs.maxOutputTokens;
  RelayRequest relayRequest;
  relayRequest.id = token.request;
  relayRequest.tenant = token.tenant;
  StreamRelay relay(services_.engineClient, services_.clock, placer, sink, relayRequest, limits);
  RequestRecord record;
  record.request = id;
  record.row.tenant = token.tenant;
  relay.runAdopted(token.placement, token.attempt, position_, record);
  services_.requestLog.add(std::move(record));
}

void ModelsHandler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                  Poco::Net::HTTPServerResponse& response) {
  const Result<TenantId> tenant = authenticateCaller(services_, request);
  if (!isOk(tenant)) {
    sendError(response, errorOf(tenant), RequestId());
    return;
  }
  const Table::Snapshot table = services_.table.current();
  std::string body = "{\"object\":\"list\",\"data\":[";
  const char* separator = "";
  for (const Row* row : table->rowsOfTenant(valueOf(tenant))) {
    if (row->backEnd != BackEndKind::kModel || !row->enabled) {
      continue;
    }
    body += separator;
    separator = ",";
    body += "{\"object\":\"model\",\"id\":";
    appendJsonString(body, row->key.service.value());
    body += ",\"owned_by\":";
    appendJsonString(body, row->key.tenant.value());
    body += ",\"root\":";
    appendJsonString(body, row->model.value());
    body += "}";
  }
  body += "]}";
  sendJson(response, body);
}

}  // namespace fernmoor
