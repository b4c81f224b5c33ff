/// @file
/// The separation of long from short prompts (see kind_separation.h) in all pools of this node.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "backends/backend_set.h"
#include "common/log_budget.h"
#include "gateway/incoming_request.h"
#include "gateway/kind_separation.h"

namespace fernmoor::gateway {

/// Thread-safe.
class KindSides {
 public:
  /// @return the engines that serve the request's row; nothing: all engines of the pool. Every
  ///         second, computes the separation of the pool anew.
  /// @param members of the request's pool.
  /// @param slotsPerEngine 0: unknown.
  std::optional<EngineSide> sideOf(const IncomingRequest& request,
                                   const std::vector<BackendView>& members, uint32_t slotsPerEngine,
                                   size_t liveNodes, Time now);
  /// The request was sent to an engine.
  void noteSent(const IncomingRequest& request, const SentPrompt& prompt, Time now);
  /// @param took time from the send to the first event.
  void noteFirstEvent(const IncomingRequest& request, uint64_t tokens, Duration took, Time now);
  /// The request left its engine.
  void noteEnded(const IncomingRequest& request, Time now);

 private:
  struct PoolSides {
    KindSeparation separation;
    uint64_t leastWeight = 0;  ///< Of the engines for short rows, if the rows are separated.
    std::optional<Time> updatedAt;
  };

  /// Call with the lock held.
  void update(const std::string& pool, PoolSides& sides, const std::vector<BackendView>& members,
              PoolCapacity capacity, Time now);

  std::mutex mutex_;
  std::unordered_map<std::string, PoolSides> pools_;
  LogBudget changeLog_{{0.2, 10}};
};

}  // namespace fernmoor::gateway
