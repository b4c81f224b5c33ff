/// @file
/// A node's snapshot of a model engine's state; always somewhat out of date.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "membership/member.h"

namespace fernmoor {

/// Engines with a prefill or decode role run only that phase; mixed ones run both.
enum class EngineRole { kMixed, kPrefill, kDecode };

/// Whether an engine is eligible for new work. Only live engines are.
enum class EngineStatus { kLive, kLoading, kLeaving, kSuspect, kDead };

/// Load as the engine reported it, with a lag.
struct EngineLoad {
  int64_t queuedPrefillTokens = 0;    ///< Tokens waiting for or in prefill.
  int64_t runningStreams = 0;         ///< Requests being decoded.
  int64_t waitingRequests = 0;        ///< Requests not yet admitted to the batch.
  int64_t maxStreams = 0;             ///< Size of the batch.
  double prefillTokensPerSecond = 0;  ///< Measured by the engine.
  Duration tokenInterval{0};          ///< Time between tokens of one stream now.
  Time measuredAt;                    ///< When the engine measured it, on this node's clock.
};

struct EngineState {
  EngineId id;
  ZoneId zone;
  SocketAddress address;
  Incarnation incarnation;
  ModelId model;
  std::vector<AdapterId> adapters;
  WeightsVersion weightsVersion;
  EngineRole role = EngineRole::kMixed;
  EngineStatus status = EngineStatus::kLive;
  EngineLoad load;
};

/// Where a request is placed, and the engine state that must still hold when it arrives.
struct Placement {
  EngineId engine;
  SocketAddress address;
  Incarnation incarnation;
  WeightsVersion weightsVersion;
  int64_t expectedMatchedBlocks = 0;  ///< A hint; a wrong one costs time only.
};

}  // namespace fernmoor
