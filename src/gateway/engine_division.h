/// @file
/// Keeps long prompts away from streams that somebody reads: an engine reads a long prompt in
/// pieces of a few thousand tokens, and each piece holds up every stream that runs there by some
/// hundred ms. Where a pool gets both, long prompts go to one part of its engines and short ones
/// to the other. All nodes compute the same parts without asking each other.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "backends/backend_set.h"
#include "common/time.h"
#include "gateway/incoming_request.h"

namespace fernmoor::gateway {

/// Which part of a pool serves a request first.
enum class EngineShare { kAll, kLongPart, kShortPart };

/// Thread-safe.
class EngineDivision {
 public:
  /// Notes a request and says which engines are to serve it.
  EngineShare note(const IncomingRequest& request, Time now);

 private:
  /// Work that a pool got lately, in tokens, decaying.
  struct Demand {
    double longTokens = 0;
    double shortTokens = 0;
    Time countedAt;
  };

  std::mutex mutex_;
  std::map<std::string, Demand> demands_;
};

/// @return the members of the share; all where the share would be empty.
std::vector<BackendView> membersOfShare(const std::vector<BackendView>& members, EngineShare share);

}  // namespace fernmoor::gateway
