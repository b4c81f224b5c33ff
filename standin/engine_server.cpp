#include "standin/engine_server.h"

#include <algorithm>

#include "standin/engine_messages.h"
#include "standin/json_client.h"

namespace fernmoor::standin {

namespace {

constexpr Duration kReaderCheck{100000};  ///< How often a waiting stream looks for its reader.
constexpr Duration kLongestEventWait{10000000};
constexpr Duration kWeightsTimeout{10000000};
constexpr Duration kWeightsRetry{200000};
constexpr Time kUntilTold = Time::max();
constexpr const char* kKnownFaults = "crash, freeze, drop_events, refuse_connections";

template <class Condition>
void waitUntil(Condition& condition, std::unique_lock<std::mutex>& lock, std::optional<Time> time) {
  if (time) {
    condition.wait_until(lock, toSteady(*time));
  } else {
    condition.wait(lock);
  }
}

}  // namespace

EngineServer::EngineServer(EngineServerOptions options)
    : options_(std::move(options)),
      service_(
          options_.listen, [this](HttpExchange& exchange) { handle(exchange); },
          options_.warmThreads),
      model_(options_.engine) {}

EngineServer::~EngineServer() {
  stop();
}

Result<Done> EngineServer::start() {
  auto started = service_.start();
  if (isOk(started)) {
    modelThread_ = std::thread([this] { runModel(); });
  }
  return started;
}

void EngineServer::stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    streams_.breakAll();
  }
  modelChanged_.notify_all();
  eventsChanged_.notify_all();
  service_.stop();
  if (modelThread_.joinable()) {
    modelThread_.join();
  }
  for (std::thread& loader : loaders_) {
    loader.join();
  }
  loaders_.clear();
}

bool EngineServer::busy() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return model_.nextChange().has_value() || streams_.hasReaders();
}

std::vector<EngineRun> EngineServer::runs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {streams_.runs().begin(), streams_.runs().end()};
}

Incarnation EngineServer::incarnation() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return model_.incarnation();
}

void EngineServer::handle(HttpExchange& exchange) {
  if (exchange.is("POST", "/v1/generate")) {
    generate(exchange);
  } else if (exchange.is("POST", "/v1/resume")) {
    resume(exchange);
  } else if (exchange.is("POST", "/v1/cancel")) {
    cancel(exchange);
  } else if (exchange.is("GET", "/v1/state")) {
    reportState(exchange);
  } else if (exchange.is("GET", "/v1/events")) {
    reportEvents(exchange);
  } else if (exchange.is("POST", "/v1/kv/export")) {
    exportBlocks(exchange);
  } else if (exchange.is("POST", "/v1/kv/import")) {
    importBlocks(exchange);
  } else if (exchange.is("POST", "/v1/kv/save")) {
    saveBlocks(exchange);
  } else if (exchange.is("POST", "/v1/orders")) {
    takeOrder(exchange);
  } else if (exchange.is("GET", "/record")) {
    reportRuns(exchange);
  } else if (exchange.is("POST", "/fault")) {
    takeFault(exchange);
  }
}

/// Runs the model up to now; the mutex is held. Comes before every other call of the model.
Time EngineServer::advanceModel() {
  const Time now = clock_.now();
  for (EngineFrame& frame : model_.advance(now)) {
    streams_.deliver(std::move(frame));
  }
  if (model_.lastEventSequence() != lastEventSequence_) {
    lastEventSequence_ = model_.lastEventSequence();
    eventsChanged_.notify_all();
  }
  return now;
}

void EngineServer::runModel() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    const Time now = advanceModel();
    for (const AttemptId& attempt : streams_.takeAbandoned(options_.readerGrace, now)) {
      if (model_.isRunning(attempt)) {
        model_.cancel(attempt, now);
      }
    }
    waitUntil(modelChanged_, lock, nextWakeUp());
  }
}

std::optional<Time> EngineServer::nextWakeUp() const {
  const std::optional<Time> change = model_.nextChange();
  const std::optional<Time> abandoned = streams_.nextAbandoned(options_.readerGrace);
  if (!change || !abandoned) {
    return change ? change : abandoned;
  }
  return std::min(*change, *abandoned);
}

void EngineServer::generate(HttpExchange& exchange) {
  const auto parsed = parseEngineRequest(exchange.body());
  if (!isOk(parsed)) {
    exchange.respond(errorOf(parsed));
    return;
  }
  const EngineRequest& request = valueOf(parsed);
  std::unique_lock<std::mutex> lock(mutex_);
  const Time now = advanceModel();
  // Recorded first: nothing may run that the record does not show.
  streams_.recordRun(request, model_.incarnation());
  const auto taken = model_.submit(request, now);
  if (!isOk(taken)) {
    streams_.forgetLastRun();
    lock.unlock();
    exchange.respond(errorOf(taken));
    return;
  }
  const EngineStreams::Reader reader = streams_.attach(request.attempt);
  modelChanged_.notify_all();
  lock.unlock();
  sendStream(exchange, reader);
}

void EngineServer::resume(HttpExchange& exchange) {
  const JsonObject::Ptr body = exchange.jsonBody();
  if (body.isNull()) {
    return;
  }
  const AttemptId attempt(textField(body, "attempt"));
  const Incarnation wanted(static_cast<uint64_t>(numberField(body, "incarnation")));
  std::unique_lock<std::mutex> lock(mutex_);
  const Time now = advanceModel();
  if (wanted != Incarnation() && wanted != model_.incarnation()) {
    lock.unlock();
    exchange.respond(Error{ErrorKind::kWrongIncarnation,
                           "The engine restarted since. Send the request anew with the position.",
                           RunState::kUnknown, std::nullopt});
    return;
  }
  const auto taken = model_.resume(attempt, numberField(body, "position"), now);
  if (!isOk(taken)) {
    lock.unlock();
    exchange.respond(errorOf(taken));
    return;
  }
  const EngineStreams::Reader reader = streams_.attach(attempt);
  modelChanged_.notify_all();
  lock.unlock();
  sendStream(exchange, reader);
}

void EngineServer::sendStream(HttpExchange& exchange, const EngineStreams::Reader& reader) {
  exchange.startEvents();
  bool first = true;
  bool connected = true;
  while (connected) {
    const FrameChannel::Batch batch =
        reader.channel->take(reader.number, clock_.now() + kReaderCheck);
    if (batch.mustLeave) {
      exchange.cut();
      return;
    }
    connected = !batch.frames.empty() || !exchange.peerClosed();
    for (const EngineFrame& frame : batch.frames) {
      connected = connected && sendFrame(exchange, frame, first) && !frame.end;
      first = false;
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  streams_.detach(reader, clock_.now());
  modelChanged_.notify_all();
}

void EngineServer::cancel(HttpExchange& exchange) {
  const JsonObject::Ptr body = exchange.jsonBody();
  if (body.isNull()) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Time now = advanceModel();
    const AttemptId attempt(textField(body, "attempt"));
    model_.cancel(attempt, now);
    streams_.breakOne(attempt);
    modelChanged_.notify_all();
  }
  exchange.respond(newObject());
}

void EngineServer::reportState(HttpExchange& exchange) {
  JsonObject::Ptr state;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state = engineStateJson(model_, advanceModel());
  }
  exchange.respond(state);
}

void EngineServer::reportEvents(HttpExchange& exchange) {
  const Incarnation wanted(static_cast<uint64_t>(exchange.queryNumber("incarnation", 0)));
  const auto after = static_cast<uint64_t>(exchange.queryNumber("after", 0));
  const Time deadline = clock_.now() + exchange.queryWait("wait_ms", kLongestEventWait);
  CacheEventBatch batch;
  {
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
      const Time now = advanceModel();
      const bool same = wanted == model_.incarnation();
      batch = model_.events(same ? after : 0, now);
      batch.gap = batch.gap || !same;
      if (batch.gap || !batch.events.empty() || now >= deadline || stopping_) {
        break;
      }
      const auto visible = model_.nextEventVisible(after);
      eventsChanged_.wait_until(lock, toSteady(std::min(deadline, visible.value_or(deadline))));
    }
  }
  service_.waitWhileFrozen();
  exchange.respond(eventBatchJson(batch));
}

void EngineServer::takeOrder(HttpExchange& exchange) {
  const auto parsed = parseEngineOrder(exchange.body());
  if (!isOk(parsed)) {
    exchange.respond(errorOf(parsed));
    return;
  }
  const EngineOrder& order = valueOf(parsed);
  std::unique_lock<std::mutex> lock(mutex_);
  const Time now = advanceModel();
  const uint64_t loadsBefore = model_.loadsBegun();
  const auto taken = applyOrder(model_, order, now);
  const FencingToken highest = model_.highestFencingToken();
  advanceModel();
  if (isOk(taken) && model_.loadsBegun() != loadsBefore && options_.platform) {
    model_.setLoadingUntil(kUntilTold);
    const uint64_t load = model_.loadsBegun();
    loaders_.emplace_back([this, order, load] { loadWeights(order, load); });
  }
  lock.unlock();
  if (isOk(taken)) {
    exchange.respond(newObject());
    return;
  }
  JsonObject::Ptr body = toJson(errorOf(taken));
  body->set("highest_fencing_token", highest.value());
  exchange.respond(httpStatus(errorOf(taken).kind), body);
}

/// Asks the weight store until it gives the weights, or until another load took over.
void EngineServer::loadWeights(const EngineOrder& order, uint64_t load) {
  JsonCall request;
  request.address = *options_.platform;
  request.method = "GET";
  request.path =
      "/weights/" + order.model.value() + "/" + std::to_string(order.weightsVersion.value());
  request.timeout = kWeightsTimeout;
  while (true) {
    const auto answer = call(request);
    std::unique_lock<std::mutex> lock(mutex_);
    if (stopping_ || model_.loadsBegun() != load) {
      return;
    }
    if (isOk(answer) && valueOf(answer).status == 200) {
      model_.setLoadingUntil(clock_.now());
      return;
    }
    eventsChanged_.wait_until(lock, toSteady(clock_.now() + kWeightsRetry));
  }
}

void EngineServer::reportRuns(HttpExchange& exchange) {
  exchange.respond(engineRunsJson(runs()));
}

void EngineServer::takeFault(HttpExchange& exchange) {
  const auto parsed = parseFault(exchange.body());
  if (!isOk(parsed)) {
    exchange.respond(errorOf(parsed));
    return;
  }
  const FaultOrder& fault = valueOf(parsed);
  std::unique_lock<std::mutex> lock(mutex_);
  const Time now = advanceModel();
  if (fault.kind == "crash") {
    model_.crash(now);
    streams_.breakAll();
    lastEventSequence_ = model_.lastEventSequence();
    eventsChanged_.notify_all();
  } else if (fault.kind == "freeze") {
    model_.freezeUntil(now + fault.duration);
    service_.freeze(fault.duration);
  } else if (fault.kind == "drop_events") {
    model_.dropEvents(fault.count);
  } else if (fault.kind != "refuse_connections") {
    lock.unlock();
    exchange.respond(unknownFault(fault.kind, kKnownFaults));
    return;
  }
  modelChanged_.notify_all();
  lock.unlock();
  exchange.respond(newObject());  // Before the connection may be cut.
  if (fault.kind == "crash") {
    service_.goDown(fault.duration);
  } else if (fault.kind == "refuse_connections") {
    service_.refuseConnections(fault.duration);
  }
}

}  // namespace fernmoor::standin
