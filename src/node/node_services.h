/// @file
/// What the HTTP handlers of a node work with. All parts are owned by Node and thread-safe.
#pragma once

#include <atomic>
#include <cstdint>

#include "claim/claim_service.h"
#include "common/knobs.h"
#include "engine/engine_client.h"
#include "engine/engine_directory.h"
#include "membership/member.h"
#include "node/application_runner.h"
#include "node/engine_knowledge.h"
#include "node/key_ring.h"
#include "node/request_gate.h"
#include "node/request_ids.h"
#include "node/request_measures.h"
#include "node/stream_token.h"
#include "relay/request_log.h"
#include "routing/routing_policy.h"
#include "table/table.h"
#include "table/table_role.h"

namespace fernmoor {

struct NodeServices {
  const Knobs& knobs;
  const Clock& clock;
  NodeLife self;
  const KeyRing& keys;
  const Table& table;
  const TableRole& tableRole;
  EngineDirectory& engines;
  EngineKnowledge& knowledge;
  EngineClient& engineClient;
  RoutingPolicy& policy;
  const StreamTokenSealer& streamTokens;
  RequestIds& requestIds;
  RequestLog& requestLog;
  RequestGate& gate;
  ApplicationRunner& applications;
  ClaimService& claims;
  MessageSender& sender;
  RequestMeasures& measures;
  const std::atomic<bool>& draining;
};

}  // namespace fernmoor
