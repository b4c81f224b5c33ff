#include "standin/application_server.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <xxhash.h>

namespace fernmoor::standin {

namespace {

constexpr const char* kKnownFaults =
    "crash, freeze, lose_answer, slow, refuse, refuse_connections, none";
constexpr size_t kRunSegments = 2;  ///< Of /run/<operation>.

Error notRun(ErrorKind kind, std::string message) {
  return Error{kind, std::move(message), RunState::kNotRun, std::nullopt};
}

std::string digest(const std::string& text) {
  return blockText(XXH3_64bits(text.data(), text.size()));
}

bool isJson(const std::string& text) {
  try {
    Poco::JSON::Parser().parse(text);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool isKnownFault(const std::string& kind) {
  return kind == "crash" || kind == "freeze" || kind == "lose_answer" || kind == "slow" ||
         kind == "refuse" || kind == "refuse_connections" || kind == "none";
}

}  // namespace

ApplicationServer::ApplicationServer(ApplicationServerOptions options)
    : options_(std::move(options)),
      service_(options_.listen, [this](HttpExchange& exchange) { handle(exchange); }),
      incarnation_(options_.incarnation) {}

ApplicationServer::~ApplicationServer() {
  stop();
}

Result<Done> ApplicationServer::start() {
  return service_.start();
}

void ApplicationServer::stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  service_.stop();
}

std::vector<ApplicationRun> ApplicationServer::runs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

Incarnation ApplicationServer::incarnation() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return incarnation_;
}

void ApplicationServer::handle(HttpExchange& exchange) {
  const auto& segments = exchange.segments();
  if (exchange.method() == "POST" && segments.size() == kRunSegments && segments[0] == "run") {
    run(exchange);
  } else if (exchange.is("GET", "/state")) {
    reportState(exchange);
  } else if (exchange.is("GET", "/record")) {
    reportRuns(exchange);
  } else if (exchange.is("POST", "/fault")) {
    takeFault(exchange);
  }
}

/// The mutex is held.
std::optional<Error> ApplicationServer::reasonToRefuse(const HttpExchange& exchange) {
  if (faults_.applies("refuse", clock_.now())) {
    return notRun(ErrorKind::kUnavailable, "The engine takes no work now. Try another one.");
  }
  if (!isJson(exchange.body())) {
    return notRun(ErrorKind::kInvalidRequest, "The body is no JSON. Send the operation's input.");
  }
  if (stopping_ || running_ >= options_.maxRunning) {
    return notRun(ErrorKind::kOverloaded, "All places are taken. Try another engine.");
  }
  return std::nullopt;
}

void ApplicationServer::run(HttpExchange& exchange) {
  const std::string& operation = exchange.segments()[1];
  ApplicationRun record;
  record.attempt = AttemptId(exchange.header("X-Attempt-Id"));
  record.request = RequestId(exchange.header("X-Request-Id"));
  record.tenant = TenantId(exchange.header("X-Tenant"));
  record.key = exchange.header("Idempotency-Key");
  record.operation = operation;
  std::optional<Error> refused;
  size_t number = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    refused = reasonToRefuse(exchange);
    if (!refused) {
      record.incarnation = incarnation_;
      number = runs_.size();
      runs_.push_back(record);
      ++running_;
    }
  }
  if (refused) {
    exchange.respond(*refused);
    return;
  }
  const Duration duration = options_.workTime + faults_.delay("slow", clock_.now());
  const bool completed = work(number, duration);
  if (!completed || faults_.applies("lose_answer", clock_.now())) {
    exchange.cut();
    return;
  }
  JsonObject::Ptr answer = newObject();
  answer->set("operation", operation);
  answer->set("request", record.request.value());
  answer->set("echo_digest", digest(exchange.body()));
  answer->set("receipt", "r-" + digest(operation + " " + exchange.body()));
  exchange.respond(answer);
}

/// Spends the operation's time. @return false where a crash or the end came in between.
bool ApplicationServer::work(size_t run, Duration duration) {
  std::unique_lock<std::mutex> lock(mutex_);
  const Incarnation begun = incarnation_;
  const Time end = clock_.now() + duration;
  const auto interrupted = [&] { return stopping_ || incarnation_ != begun; };
  changed_.wait_until(lock, toSteady(end), interrupted);
  lock.unlock();
  service_.waitWhileFrozen();
  lock.lock();
  if (incarnation_ == begun) {
    --running_;  // A crash has already set it to 0.
  }
  if (interrupted()) {
    return false;
  }
  runs_[run].completed = true;
  return true;
}

void ApplicationServer::reportState(HttpExchange& exchange) {
  JsonObject::Ptr state = newObject();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state->set("id", options_.id.value());
    state->set("incarnation", incarnation_.value());
    state->set("status", "live");
    state->set("running", running_);
    state->set("max_running", options_.maxRunning);
  }
  exchange.respond(state);
}

void ApplicationServer::reportRuns(HttpExchange& exchange) {
  JsonArray::Ptr list = new JsonArray;
  for (const ApplicationRun& run : runs()) {
    JsonObject::Ptr item = newObject();
    item->set("attempt", run.attempt.value());
    item->set("request", run.request.value());
    item->set("tenant", run.tenant.value());
    item->set("key", run.key);
    item->set("operation", run.operation);
    item->set("incarnation", run.incarnation.value());
    item->set("started", true);
    item->set("completed", run.completed);
    list->add(item);
  }
  JsonObject::Ptr body = newObject();
  body->set("runs", list);
  exchange.respond(body);
}

void ApplicationServer::takeFault(HttpExchange& exchange) {
  const auto parsed = parseFault(exchange.body());
  if (!isOk(parsed)) {
    exchange.respond(errorOf(parsed));
    return;
  }
  const FaultOrder& fault = valueOf(parsed);
  if (!isKnownFault(fault.kind)) {
    exchange.respond(unknownFault(fault.kind, kKnownFaults));
    return;
  }
  if (fault.kind == "crash") {
    const std::lock_guard<std::mutex> lock(mutex_);
    incarnation_ = Incarnation(incarnation_.value() + 1);
    running_ = 0;
    changed_.notify_all();
  } else if (fault.kind == "freeze") {
    service_.freeze(fault.duration);
  } else {
    faults_.set(fault, clock_.now());
  }
  exchange.respond(newObject());  // Before the connection may be cut.
  if (fault.kind == "crash") {
    service_.goDown(fault.duration);
  } else if (fault.kind == "refuse_connections") {
    service_.refuseConnections(fault.duration);
  }
}

}  // namespace fernmoor::standin
