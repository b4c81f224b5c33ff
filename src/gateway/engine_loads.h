/// @file
/// Prompt tokens that wait at engines. Each node sees its own requests only, a small part where
/// there are many nodes, so the choice of an engine asks somebody who counts for all nodes.
#pragma once

#include <cstdint>
#include <optional>

namespace fernmoor::gateway {

/// A request that is counted at an engine until it is released or forgotten.
struct LoadTicket {
  uint64_t engine = 0;  ///< Hash of its id.
  uint32_t id = 0;
};

struct LoadAnswer {
  bool isGranted = false;      ///< The request is counted; release the ticket.
  uint64_t pendingTokens = 0;  ///< What waited there before it, of all nodes.
  LoadTicket ticket;
};

/// Implementations are thread-safe.
class EngineLoads {
 public:
  virtual ~EngineLoads() = default;
  /// Counts a request at an engine unless `bound` tokens or more wait there.
  /// @param engine hash of its id.
  /// @return nothing where nobody answered; may wait some milliseconds.
  virtual std::optional<LoadAnswer> reserve(uint64_t engine, uint64_t tokens, uint64_t bound) = 0;
  /// The request's prompt was read, or it left the engine.
  virtual void release(const LoadTicket& ticket) = 0;
};

}  // namespace fernmoor::gateway
