#include "node/application_runner.h"

#include <algorithm>
#include <utility>

#include "http/json_text.h"

namespace fernmoor {

namespace {

constexpr size_t kMaxEngines = 3;
constexpr size_t kMaxAnswerBytes = 16U << 20U;
constexpr Duration kShortestTimeout{10000};
constexpr Duration kRetryAfter{1000000};
constexpr int kStatusUnavailable = 503;
constexpr int kFirstErrorStatus = 500;

Error noEngine() {
  return Error{ErrorKind::kUnavailable,
               "no application engine could take the request; see fernmoorctl nodes, come back "
               "later.",
               RunState::kNotRun, kRetryAfter};
}

Error timedOut(RunState runState) {
  return Error{ErrorKind::kTimeout, "the request's deadline passed; raise deadline_ms of its row.",
               runState, kRetryAfter};
}

Error unknownOutcome(const std::string& detail) {
  return Error{ErrorKind::kOutcomeUnknown,
               "the application engine gave no answer (" + detail +
                   "); it may or may not have run the request. Send it again with the same "
                   "Idempotency-Key to learn the outcome.",
               RunState::kUnknown, kRetryAfter};
}

/// What an answer with an error status tells.
Error refusalOf(const HttpAnswer& answer) {
  Error error = unknownOutcome("status " + std::to_string(answer.status));
  const auto parsed = parseJsonObject(answer.body);
  const bool notRun =
      isOk(parsed) && stringMember(*valueOf(parsed), "run") == toString(RunState::kNotRun);
  if (answer.status == kStatusUnavailable && notRun) {
    error.kind = ErrorKind::kUnavailable;
    error.message = "the application engine refused the request; come back later.";
    error.runState = RunState::kNotRun;
  }
  return error;
}

}  // namespace

Result<ApplicationAnswer> ApplicationRunner::runOn(const ApplicationEngine& engine,
                                                   const ApplicationRequest& request,
                                                   const AttemptId& attempt) {
  HttpCall call;
  call.address = engine.address;
  call.method = "POST";
  call.path = "/run/" + request.operation.value();
  call.body = request.body;
  call.headers = {{"X-Attempt-Id", attempt.value()},
                  {"X-Request-Id", request.id.value()},
                  {"X-Tenant", request.tenant.value()}};
  if (!request.idempotencyKey.empty()) {
    call.headers.push_back({"Idempotency-Key", request.idempotencyKey});
  }
  call.timeout = std::max(kShortestTimeout, request.deadline - clock_.now());
  call.mostAnswerBytes = kMaxAnswerBytes;
  const HttpOutcome outcome = http_.call(call);
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    engines_.reportFailure(engine.id, clock_.now());
    return failure->progress == CallProgress::kNotSent ? noEngine()
                                                       : unknownOutcome(failure->detail);
  }
  const auto& answer = std::get<HttpAnswer>(outcome);
  if (answer.status >= kFirstErrorStatus) {
    return refusalOf(answer);
  }
  return ApplicationAnswer{answer.status, answer.body, engine.id};
}

Result<ApplicationAnswer> ApplicationRunner::run(const ApplicationRequest& request,
                                                 RequestRecord& record) {
  std::vector<ApplicationId> tried;
  Error last = noEngine();
  bool mayHaveRun = false;
  while (tried.size() < kMaxEngines) {
    if (clock_.now() >= request.deadline) {
      return timedOut(mayHaveRun ? RunState::kUnknown : RunState::kNotRun);
    }
    if (!tried.empty() && !gate_.tryRetry()) {
      break;
    }
    const auto engine = engines_.choose(tried, clock_.now());
    if (!engine) {
      break;
    }
    tried.push_back(engine->id);
    const AttemptId attempt(request.id.value() + "." + std::to_string(tried.size()));
    Result<ApplicationAnswer> result = runOn(*engine, request, attempt);
    engines_.ended(engine->id);
    AttemptRecord attemptRecord;
    attemptRecord.attempt = attempt;
    attemptRecord.engine = EngineId(engine->id.value());
    attemptRecord.reason = "fewest requests of this node, own zone first";
    attemptRecord.result = isOk(result) ? "ended" : toString(errorOf(result).kind);
    record.attempts.push_back(std::move(attemptRecord));
    if (isOk(result)) {
      return result;
    }
    last = errorOf(result);
    mayHaveRun = mayHaveRun || last.runState != RunState::kNotRun;
    if (mayHaveRun && !request.repeatable) {
      break;
    }
  }
  last.runState = mayHaveRun ? RunState::kUnknown : RunState::kNotRun;
  return last;
}

}  // namespace fernmoor
