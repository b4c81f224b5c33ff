/// @file
/// The count behind EngineLoads: which requests wait and run at an engine, how quickly it gets
/// through them, and what a newcomer has to wait for. A request whose end is never told is
/// forgotten after a while, so that a lost message or a dead node does not fill an engine.
#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "common/decay.h"
#include "gateway/engine_loads.h"

namespace fernmoor::gateway {

/// A request as its owner names it.
struct PendingRequest {
  uint64_t owner = 0;  ///< Its node.
  uint32_t id = 0;     ///< One number of that node's.
  EngineDemand demand;
};

/// Thread-safe.
class PendingWork {
 public:
  /// Counts the request unless `bound` tokens or more stand before it at the engine.
  LoadAnswer reserve(uint64_t engine, const PendingRequest& request, const EngineRoom& room,
                     uint64_t bound, Time now);
  /// The engine began to answer the request.
  void promptRead(uint64_t engine, uint64_t owner, uint32_t id, Time now);
  void release(uint64_t engine, uint64_t owner, uint32_t id, Time now);
  /// Forgets all requests of a node, which was started anew or is gone.
  void forgetOwner(uint64_t owner);
  /// Engines with requests that are counted.
  size_t size() const;

 private:
  struct Entry {
    PendingRequest request;
    Time reservedAt;
    Time forgetAt;
    uint64_t tokensAtStart = 0;  ///< Prompt tokens that waited with it, its own included.
    bool isRead = false;
  };

  struct Engine {
    std::vector<Entry> entries;
    DecayingQuotient reading;    ///< Prompt tokens, and the time until the first event.
    DecayingQuotient residence;  ///< Requests, and the time from their send to their end.
    Time usedAt;

    double tokensPerSecond() const;
    double secondsOfARequest() const;
    uint64_t waitingTokens() const;
    double secondsForRoom(const EngineDemand& demand, const EngineRoom& room) const;
    bool isStalled(Time now) const;
  };

  Engine& engineOf(uint64_t engine, Time now);
  void forgetUnused(Time now);

  mutable std::mutex mutex_;
  std::unordered_map<uint64_t, Engine> engines_;
  Time sweptAt_;
};

}  // namespace fernmoor::gateway
