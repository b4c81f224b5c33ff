#include "node/application_handler.h"

#include <chrono>
#include <utility>

#include "claim/claim_key.h"
#include "http/message_head.h"
#include "node/caller_socket.h"
#include "node/completion_handler.h"
#include "node/http_reply.h"

namespace fernmoor {

namespace {

Error unknownService(const ServiceId& service) {
  return Error{ErrorKind::kNotFound,
               "there is no application service \"" + service.value() +
                   "\" for this key; ask the operators for a row.",
               RunState::kNotRun, std::nullopt};
}

Error disabledRow() {
  return Error{ErrorKind::kForbidden,
               "the service is switched off for this tenant; ask the operators to enable its row.",
               RunState::kNotRun, std::nullopt};
}

Error missingKey() {
  return Error{ErrorKind::kInvalidRequest,
               std::string("this request may not be repeated, so it needs a key; send ") +
                   kIdempotencyKeyHeader + " with a UUID version 7.",
               RunState::kNotRun, std::nullopt};
}

Error unprintableKey() {
  return Error{ErrorKind::kInvalidRequest,
               std::string("the ") + kIdempotencyKeyHeader +
                   " holds the end of a line once it is decoded; send a UUID version 7.",
               RunState::kNotRun, std::nullopt};
}

Error runningElsewhere(Duration retryAfter) {
  return Error{ErrorKind::kConflict,
               "a request with this key is running or its outcome is not known; send it again "
               "later with the same key.",
               RunState::kUnknown, retryAfter};
}

ClaimAnswer claimAnswerOf(const ApplicationAnswer& answer) {
  ClaimAnswer claim;
  claim.httpStatus = static_cast<uint32_t>(answer.status);
  claim.contentType = "application/json";
  claim.body = answer.body;
  return claim;
}

}  // namespace

void ApplicationHandler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                       Poco::Net::HTTPServerResponse& response) {
  RequestRecord record;
  record.request = services_.requestIds.next();
  const Time start = services_.clock.now();
  const Result<Outcome> outcome = serve(request, record);
  record.total = services_.clock.now() - start;
  if (isOk(outcome)) {
    const Outcome& served = valueOf(outcome);
    record.runState = RunState::kRan;
    response.set(kRequestIdHeader, record.request.value());
    response.set(kEngineHeader, served.answer.engine.value());
    response.set(kReplayedHeader, served.replayed ? "true" : "false");
    services_.measures.noteEnded(record);
    services_.requestLog.add(record);
    sendJson(response, served.answer.body, served.answer.status);
    return;
  }
  record.refusal = errorOf(outcome);
  record.runState = errorOf(outcome).runState;
  services_.measures.noteEnded(record);
  services_.requestLog.add(record);
  sendError(response, errorOf(outcome), record.request);
}

Result<ApplicationHandler::Outcome> ApplicationHandler::serve(Poco::Net::HTTPServerRequest& request,
                                                              RequestRecord& record) {
  const Result<TenantId> tenant = authenticateCaller(services_, request);
  if (!isOk(tenant)) {
    return errorOf(tenant);
  }
  record.row = RowKey{service_, valueOf(tenant)};
  const Result<std::string> body =
      readBody(request, services_.knobs.maxBodyBytes, services_.knobs.bodyTimeout, services_.clock);
  if (!isOk(body)) {
    return errorOf(body);
  }
  const Result<Table::Snapshot> table = tableInForce(services_);
  if (!isOk(table)) {
    return errorOf(table);
  }
  const Result<const Row*> row = findRow(*valueOf(table), valueOf(tenant));
  if (!isOk(row)) {
    return errorOf(row);
  }
  ApplicationRequest application;
  application.id = record.request;
  application.tenant = valueOf(tenant);
  application.operation = valueOf(row)->operationPath;
  application.body = valueOf(body);
  application.idempotencyKey = request.get(kIdempotencyKeyHeader, "");
  if (!isFieldValue(application.idempotencyKey)) {
    return unprintableKey();
  }
  application.repeatable =
      valueOf(row)->repeatable && request.get(kNotRepeatableHeader, "") != "true";
  application.deadline = services_.clock.now() + valueOf(row)->deadline;
  return admitAndRun(request, *valueOf(row), application, record);
}

Result<const Row*> ApplicationHandler::findRow(const TableSnapshot& table,
                                               const TenantId& tenant) const {
  const Row* row = table.find(RowKey{service_, tenant});
  if (row == nullptr || row->backEnd != BackEndKind::kApplication) {
    return unknownService(service_);
  }
  if (!row->enabled) {
    return disabledRow();
  }
  return row;
}

Result<ApplicationHandler::Outcome> ApplicationHandler::admitAndRun(
    Poco::Net::HTTPServerRequest& request, const Row& row, ApplicationRequest& application,
    RequestRecord& record) {
  AdmissionRequest admission = admissionRequestOf(row, services_.clock.now());
  admission.deadline = application.deadline;
  CallerSocket caller(request);
  const auto pass = services_.gate.enter(admission, [&caller] { return caller.gone(); });
  if (!isOk(pass)) {
    return errorOf(pass);
  }
  record.queued = valueOf(pass)->waited();
  if (!application.repeatable) {
    return runOnce(application, row, record);
  }
  Result<ApplicationAnswer> answer = services_.applications.run(application, record);
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  return Outcome{std::move(valueOf(answer)), false};
}

Result<ApplicationHandler::Outcome> ApplicationHandler::runOnce(
    const ApplicationRequest& application, const Row& row, RequestRecord& record) {
  if (application.idempotencyKey.empty()) {
    return missingKey();
  }
  const Result<ClaimKey> key =
      parseClaimKey(application.tenant, row.key.service, application.idempotencyKey);
  if (!isOk(key)) {
    return errorOf(key);
  }
  PendingClaim pending = services_.claims.begin(valueOf(key), claimDigest(application.body),
                                                services_.clock.now(), services_.sender);
  const ClaimOutcome outcome = pending.outcome.get();
  if (const auto* error = std::get_if<Error>(&outcome)) {
    return *error;
  }
  if (const auto* busy = std::get_if<ClaimBusy>(&outcome)) {
    return runningElsewhere(busy->retryAfter);
  }
  if (const auto* recorded = std::get_if<ClaimRecorded>(&outcome)) {
    Outcome replay;
    replay.answer.status = static_cast<int>(recorded->answer.httpStatus);
    replay.answer.body = recorded->answer.body;
    replay.replayed = true;
    return replay;
  }
  return runClaimed(pending.ticket, application, record);
}

Result<ApplicationHandler::Outcome> ApplicationHandler::runClaimed(
    ClaimTicket ticket, const ApplicationRequest& application, RequestRecord& record) {
  Result<ApplicationAnswer> answer = services_.applications.run(application, record);
  if (isOk(answer)) {
    // The caller gets its answer even where no majority could keep it: it ran, once.
    services_.claims
        .complete(ticket, claimAnswerOf(valueOf(answer)), services_.clock.now(), services_.sender)
        .wait();
    return Outcome{std::move(valueOf(answer)), false};
  }
  if (errorOf(answer).runState == RunState::kNotRun) {
    services_.claims.release(ticket, services_.clock.now(), services_.sender);
  }
  return errorOf(answer);
}

}  // namespace fernmoor
