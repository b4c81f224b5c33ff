/// @file
/// Bodies of the engine's protocol (docs/PROTOCOL-ENGINE.md) as typed values.
#pragma once

#include <string>
#include <vector>

#include "standin/engine_model.h"
#include "standin/engine_streams.h"
#include "standin/http_exchange.h"

namespace fernmoor::standin {

/// Body of POST /v1/orders.
struct EngineOrder {
  FencingToken token;
  Incarnation incarnation;  ///< 0: not checked.
  ModelId model;
  AdapterId adapter;
  WeightsVersion weightsVersion;
  EngineRole role = EngineRole::kMixed;
};

Result<EngineRequest> parseEngineRequest(const std::string& body);
Result<EngineOrder> parseEngineOrder(const std::string& body);
/// Carries out an order that is meant for the engine's present incarnation.
Result<Done> applyOrder(EngineModel& model, const EngineOrder& order, Time now);

/// Sends a frame as one event, and the end as another one.
/// @param first true for the stream's first frame, which also tells of the prompt.
/// @return false where the reader is gone.
bool sendFrame(HttpExchange& exchange, const EngineFrame& frame, bool first);

JsonObject::Ptr engineStateJson(const EngineModel& model, Time now);
JsonObject::Ptr eventBatchJson(const CacheEventBatch& batch);
JsonObject::Ptr engineRunsJson(const std::vector<EngineRun>& runs);

/// Fetches the blocks that the body of POST /v1/kv/import names from their source, which may be
/// an engine or a KV store. Blocks until they are there.
Result<std::vector<BlockHash>> fetchBlocks(const std::string& body);
/// Gives blocks to a KV store.
Result<Done> storeBlocks(const SocketAddress& store, const std::vector<BlockHash>& blocks);

/// @return the role of a name in messages; kMixed for an unknown one.
EngineRole parseRole(const std::string& text);
std::string roleText(EngineRole role);

}  // namespace fernmoor::standin
