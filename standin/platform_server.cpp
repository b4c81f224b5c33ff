#include "standin/platform_server.h"

namespace fernmoor::standin {

namespace {
constexpr const char* kKnownFaults = "down, slow, lose_answers, none";
constexpr size_t kWeightsSegments = 3;  ///< Of /weights/<model>/<version>.

Error unavailable(std::string message) {
  return Error{ErrorKind::kUnavailable, std::move(message), RunState::kNotRun, std::nullopt};
}
}  // namespace

PlatformServer::PlatformServer(const PlatformServerOptions& options)
    : service_(options.listen, [this](HttpExchange& exchange) { handle(exchange); }),
      objects_(options.keptChanges, options.watchesPerCollection),
      machines_(options.machineLag),
      weights_(options.weights) {}

PlatformServer::~PlatformServer() {
  stop();
}

Result<Done> PlatformServer::start() {
  return service_.start();
}

void PlatformServer::stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  objects_.stop();
  service_.stop();
}

void PlatformServer::handle(HttpExchange& exchange) {
  if (exchange.is("POST", "/fault")) {
    takeFault(exchange);
    return;
  }
  const Time now = clock_.now();
  // Before the look at the fault: an outage that begins in between breaks the request's watch.
  const uint64_t outages = objects_.outages();
  if (faults_.applies("down", now)) {
    exchange.respond(unavailable("The platform is down. Try again later."));
    return;
  }
  waitFor(faults_.delay("slow", now));
  if (exchange.is("GET", "/machines")) {
    listMachines(exchange);
  } else if (exchange.path().rfind("/machines/", 0) == 0 && exchange.method() == "POST") {
    changeMachines(exchange);
  } else if (exchange.path().rfind("/weights/", 0) == 0 && exchange.method() == "GET") {
    serveWeights(exchange);
  } else {
    const bool loseAnswer =
        ObjectService::isWrite(exchange) && faults_.applies("lose_answers", now);
    objects_.handle(exchange, ObjectService::Arrival{outages, loseAnswer});
  }
}

void PlatformServer::listMachines(HttpExchange& exchange) {
  std::vector<Machine> machines;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    machines = machines_.at(clock_.now());
  }
  JsonArray::Ptr list = new JsonArray;
  for (const Machine& machine : machines) {
    list->add(toJson(machine));
  }
  JsonObject::Ptr body = newObject();
  body->set("machines", list);
  exchange.respond(body);
}

void PlatformServer::changeMachines(HttpExchange& exchange) {
  const JsonObject::Ptr body = exchange.jsonBody();
  if (body.isNull()) {
    return;
  }
  const Machine machine = parseMachine(body);
  if (machine.name.empty()) {
    exchange.respond(Error{ErrorKind::kInvalidRequest, "\"name\" is missing. Name the machine.",
                           RunState::kNotRun, std::nullopt});
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Time now = clock_.now();
    if (exchange.path() == "/machines/register") {
      machines_.put(machine, now);
    } else if (exchange.path() == "/machines/leave") {
      machines_.leave(machine.name, now);
    } else if (exchange.path() == "/machines/remove") {
      machines_.remove(machine.name, now);
    } else {
      return;
    }
  }
  exchange.respond(newObject());
}

void PlatformServer::serveWeights(HttpExchange& exchange) {
  if (exchange.segments().size() != kWeightsSegments) {
    return;
  }
  std::unique_lock<std::mutex> lock(mutex_);
  const auto load = weights_.begin(clock_.now());
  if (!load) {
    lock.unlock();
    exchange.respond(Error{ErrorKind::kRateLimited,
                           "Too many loads are under way. Try again in a second.",
                           RunState::kNotRun, std::nullopt});
    return;
  }
  changed_.notify_all();
  while (!stopping_) {
    const Time now = clock_.now();
    const Time end = weights_.expectedEnd(*load, now);
    if (now >= end) {
      break;
    }
    changed_.wait_until(lock, toSteady(end));
  }
  weights_.end(*load, clock_.now());
  changed_.notify_all();
  lock.unlock();
  JsonObject::Ptr body = newObject();
  body->set("model", exchange.segments()[1]);
  body->set("version", exchange.segments()[2]);
  exchange.respond(body);
}

void PlatformServer::takeFault(HttpExchange& exchange) {
  const auto parsed = parseFault(exchange.body());
  if (!isOk(parsed)) {
    exchange.respond(errorOf(parsed));
    return;
  }
  const FaultOrder& fault = valueOf(parsed);
  const bool known = fault.kind == "down" || fault.kind == "slow" || fault.kind == "lose_answers" ||
                     fault.kind == "none";
  if (!known) {
    exchange.respond(unknownFault(fault.kind, kKnownFaults));
    return;
  }
  faults_.set(fault, clock_.now());
  if (fault.kind == "down") {
    objects_.breakWatches();
  }
  exchange.respond(newObject());
}

void PlatformServer::waitFor(Duration duration) {
  if (duration == Duration(0)) {
    return;
  }
  std::unique_lock<std::mutex> lock(mutex_);
  const Time end = clock_.now() + duration;
  while (!stopping_ && clock_.now() < end) {
    changed_.wait_until(lock, toSteady(end));
  }
}

}  // namespace fernmoor::standin
