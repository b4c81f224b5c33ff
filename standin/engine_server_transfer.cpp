/// @file
/// Part of standin/engine_server.h: KV that leaves and enters the engine.
#include "standin/engine_server.h"
#include "standin/json_client.h"

namespace fernmoor::standin {

void EngineServer::exportBlocks(HttpExchange& exchange) {
  const JsonObject::Ptr body = exchange.jsonBody();
  if (body.isNull()) {
    return;
  }
  std::vector<BlockHash> held;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    held = model_.exportBlocks(blocksField(body, "blocks"));
  }
  JsonObject::Ptr answer = newObject();
  answer->set("blocks", toArray(held));
  exchange.respond(answer);
}

void EngineServer::importBlocks(HttpExchange& exchange) {
  const auto fetched = fetchBlocks(exchange.body());
  if (!isOk(fetched)) {
    exchange.respond(errorOf(fetched));
    return;
  }
  const std::vector<BlockHash>& blocks = valueOf(fetched);
  const double seconds = static_cast<double>(blocks.size()) / options_.transferBlocksPerSecond;
  std::unique_lock<std::mutex> lock(mutex_);
  const Incarnation begun = model_.incarnation();
  const Time arrival = clock_.now() + fromSeconds(seconds);
  while (!stopping_ && clock_.now() < arrival) {
    eventsChanged_.wait_until(lock, toSteady(arrival));
  }
  const Time now = advanceModel();
  if (stopping_ || begun != model_.incarnation()) {
    lock.unlock();
    exchange.cut();
    return;
  }
  model_.importBlocks(blocks, now);
  advanceModel();
  lock.unlock();
  JsonObject::Ptr body = newObject();
  body->set("imported", blocks.size());
  exchange.respond(body);
}

void EngineServer::saveBlocks(HttpExchange& exchange) {
  const JsonObject::Ptr body = exchange.jsonBody();
  if (body.isNull()) {
    return;
  }
  const auto store = parseAddress(textField(body, "store"));
  if (!isOk(store)) {
    exchange.respond(errorOf(store));
    return;
  }
  std::vector<BlockHash> held;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    held = model_.exportBlocks(blocksField(body, "blocks"));
  }
  const auto saved = storeBlocks(valueOf(store), held);
  if (!isOk(saved)) {
    exchange.respond(errorOf(saved));
    return;
  }
  JsonObject::Ptr answer = newObject();
  answer->set("saved", held.size());
  exchange.respond(answer);
}

}  // namespace fernmoor::standin
