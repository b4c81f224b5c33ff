/// @file
/// The count behind EngineLoads: which requests wait at an engine. A request whose end is never
/// told is forgotten after a while, so that a lost message or a dead node does not fill an engine.
#pragma once

#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "common/time.h"
#include "gateway/engine_loads.h"

namespace fernmoor::gateway {

/// A request as its owner names it.
struct PendingRequest {
  uint64_t owner = 0;  ///< Its node.
  uint32_t id = 0;     ///< One number of that node's.
  uint64_t tokens = 0;
};

/// Thread-safe.
class PendingWork {
 public:
  /// Counts the request unless `bound` tokens or more wait at the engine.
  LoadAnswer reserve(uint64_t engine, const PendingRequest& request, uint64_t bound, Time now);
  void release(uint64_t engine, uint64_t owner, uint32_t id);
  /// Engines with requests that are counted.
  size_t size() const;

 private:
  struct Entry {
    PendingRequest request;
    Time forgetAt;
  };

  mutable std::mutex mutex_;
  std::unordered_map<uint64_t, std::vector<Entry>> byEngine_;
};

}  // namespace fernmoor::gateway
