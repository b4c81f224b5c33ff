#include "standin/kv_store_server.h"

namespace fernmoor::standin {

namespace {
constexpr const char* kKnownFaults = "crash, freeze, refuse, refuse_connections, none";
constexpr size_t kKeptCalls = 100000;
}  // namespace

KvStoreServer::KvStoreServer(const KvStoreServerOptions& options)
    : service_(options.listen, [this](HttpExchange& exchange) { handle(exchange); }),
      blocks_(options.cacheBlocks) {}

KvStoreServer::~KvStoreServer() {
  stop();
}

Result<Done> KvStoreServer::start() {
  return service_.start();
}

void KvStoreServer::stop() {
  service_.stop();
}

std::vector<KvStoreCall> KvStoreServer::calls() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {calls_.begin(), calls_.end()};
}

void KvStoreServer::handle(HttpExchange& exchange) {
  if (exchange.is("POST", "/v1/kv/store")) {
    serveBlocks(exchange, true);
  } else if (exchange.is("POST", "/v1/kv/fetch")) {
    serveBlocks(exchange, false);
  } else if (exchange.is("GET", "/record")) {
    reportCalls(exchange);
  } else if (exchange.is("POST", "/fault")) {
    takeFault(exchange);
  }
}

std::vector<BlockHash> KvStoreServer::held(const std::vector<BlockHash>& blocks) const {
  std::vector<BlockHash> held;
  for (const BlockHash block : blocks) {
    if (blocks_.contains(block)) {
      held.push_back(block);
    }
  }
  return held;
}

void KvStoreServer::serveBlocks(HttpExchange& exchange, bool store) {
  const JsonObject::Ptr body = exchange.jsonBody();
  if (body.isNull()) {
    return;
  }
  if (faults_.applies("refuse", clock_.now())) {
    exchange.respond(Error{ErrorKind::kUnavailable, "The store takes no work now. Try later.",
                           RunState::kNotRun, std::nullopt});
    return;
  }
  const std::vector<BlockHash> blocks = blocksField(body, "blocks");
  std::vector<BlockHash> answered;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::vector<BlockHash> before = held(blocks);
    if (store) {
      blocks_.insert(blocks);
      answered = held(blocks);
    } else {
      blocks_.touch(before, static_cast<int64_t>(before.size()));
      answered = before;
    }
    calls_.push_back(KvStoreCall{store ? "store" : "fetch", static_cast<int64_t>(blocks.size()),
                                 static_cast<int64_t>(before.size())});
    if (calls_.size() > kKeptCalls) {
      calls_.pop_front();
    }
  }
  JsonObject::Ptr answer = newObject();
  answer->set("blocks", toArray(answered));
  exchange.respond(answer);
}

void KvStoreServer::reportCalls(HttpExchange& exchange) {
  JsonArray::Ptr list = new JsonArray;
  for (const KvStoreCall& call : calls()) {
    JsonObject::Ptr item = newObject();
    item->set("operation", call.operation);
    item->set("blocks", call.blocks);
    item->set("found", call.found);
    list->add(item);
  }
  JsonObject::Ptr body = newObject();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    body->set("held", blocks_.size());
  }
  body->set("calls", list);
  exchange.respond(body);
}

void KvStoreServer::takeFault(HttpExchange& exchange) {
  const auto parsed = parseFault(exchange.body());
  if (!isOk(parsed)) {
    exchange.respond(errorOf(parsed));
    return;
  }
  const FaultOrder& fault = valueOf(parsed);
  if (fault.kind == "crash") {
    const std::lock_guard<std::mutex> lock(mutex_);
    blocks_.clear();
  } else if (fault.kind == "freeze") {
    service_.freeze(fault.duration);
  } else if (fault.kind == "refuse" || fault.kind == "none") {
    faults_.set(fault, clock_.now());
  } else if (fault.kind != "refuse_connections") {
    exchange.respond(unknownFault(fault.kind, kKnownFaults));
    return;
  }
  exchange.respond(newObject());  // Before the connection may be cut.
  if (fault.kind == "crash") {
    service_.goDown(fault.duration);
  } else if (fault.kind == "refuse_connections") {
    service_.refuseConnections(fault.duration);
  }
}

}  // namespace fernmoor::standin
