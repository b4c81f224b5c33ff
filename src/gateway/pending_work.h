/// @file
/// The bookkeeping behind EngineLoads: the requests that wait and run at each engine, the engine's
/// throughput, and the expected wait of a new request. A request whose end is not reported expires,
/// so that a lost message or a failed node does not make an engine look full.
#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "common/decay.h"
#include "gateway/engine_loads.h"

namespace fernmoor::gateway {

/// A request as identified by the node that sent it.
struct PendingRequest {
  uint64_t owner = 0;  ///< The node that sent it.
  uint32_t id = 0;     ///< Unique within that node.
  EngineDemand demand;
};

/// Thread-safe.
class PendingWork {
 public:
  /// Counts the request unless `bound` or more tokens are queued ahead of it at the engine, or the
  /// engine is stalled.
  LoadAnswer reserve(uint64_t engine, const PendingRequest& request, const EngineRoom& room,
                     uint64_t bound, Time now);
  /// Counts a request whatever is queued at the engine, without its prompt.
  void add(uint64_t engine, const PendingRequest& request, Time now);
  /// @return the number of requests that are counted at the engine.
  size_t countOf(uint64_t engine, Time now);
  /// The engine began to answer the request.
  void promptRead(uint64_t engine, uint64_t owner, uint32_t id, Time now);
  void release(uint64_t engine, uint64_t owner, uint32_t id, Time now);
  /// Removes all requests of a node that was restarted or is gone.
  void forgetOwner(uint64_t owner);
  /// @return the number of engines with counted requests.
  size_t size() const;

 private:
  struct Entry {
    PendingRequest request;
    Time reservedAt;
    Time forgetAt;
    uint64_t tokensAtStart = 0;  ///< Prompt tokens waiting when it was added, its own included.
    bool isRead = false;
  };

  struct Engine {
    std::vector<Entry> entries;
    DecayingQuotient reading;    ///< Prompt tokens, and the time to the first event.
    DecayingQuotient residence;  ///< Requests, and the time from their reservation to their end.
    Time usedAt;

    double tokensPerSecond() const;
    double secondsPerRequest() const;
    uint64_t waitingTokens() const;
    double secondsUntilCapacity(const EngineDemand& demand, const EngineRoom& room) const;
    bool isStalled(Time now) const;
  };

  Engine& engineOf(uint64_t engine, Time now);
  void forgetUnused(Time now);

  mutable std::mutex mutex_;
  std::unordered_map<uint64_t, Engine> engines_;
  Time sweptAt_;
};

}  // namespace fernmoor::gateway
