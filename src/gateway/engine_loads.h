/// @file
/// What waits and runs at engines, and what they take by what they state. Each node sees
/// its own requests only, a small part where there are many nodes, so the choice of an engine asks
/// somebody who counts for all nodes.
#pragma once

#include <cstdint>
#include <optional>

#include "common/time.h"
#include "gateway/stated_limits.h"

namespace fernmoor::gateway {

/// What one engine can hold at once; 0 where it is not known.
struct EngineRoom {
  uint32_t places = 0;        ///< Requests in its batch.
  uint64_t memoryTokens = 0;  ///< Prompts and answers of these, and cached parts.
};

/// What a request takes of an engine.
struct EngineDemand {
  uint64_t promptTokens = 0;
  uint64_t memoryTokens = 0;      ///< Prompt and expected answer.
  Duration forgetAfter{3000000};  ///< Its end was not told if it is still counted then.
  Duration longestPermitWait{0};  ///< For which it can wait where the engine states a limit.
  bool isCounted = true;          ///< False: it only needs a permit.
};

/// A request that is counted at an engine until it is released or forgotten.
struct LoadTicket {
  uint64_t engine = 0;  ///< Hash of its id.
  uint32_t id = 0;
  bool isCounted = true;   ///< Its end is to be told.
  bool hasPermit = false;  ///< To be given back where the request is not sent.
};

struct LoadAnswer {
  bool isGranted = false;  ///< The request is counted; release the ticket.
  /// What stands before it, of all nodes, in prompt tokens: those to be read, or the wait for a
  /// place or for memory as the tokens that the engine reads in that time, whichever is more.
  uint64_t pendingTokens = 0;
  double tokensPerSecond = 0;  ///< Prompt tokens that the engine got through lately, cached or not.
  bool isStalled = false;      ///< Prompts wait there and none was begun for far too long.
  /// The engine states a limit, and no permit comes within the time for which the request can wait.
  bool lacksPermit = false;
  Duration permitWait{0};  ///< Until the request may be sent, or until a permit may come.
  LoadTicket ticket;

  /// @return the time until the engine begins to read a newcomer's prompt.
  Duration expectedWait() const {
    return fromSeconds(static_cast<double>(pendingTokens) / tokensPerSecond);
  }
  /// @return the time for which it reads such a prompt.
  Duration expectedReading(uint64_t promptTokens) const {
    return fromSeconds(static_cast<double>(promptTokens) / tokensPerSecond);
  }
};

/// Implementations are thread-safe.
class EngineLoads {
 public:
  virtual ~EngineLoads() = default;
  /// Counts a request at an engine unless `bound` tokens or more stand before it there.
  /// @param engine hash of its id.
  /// @return nothing where nobody answered; may wait some milliseconds.
  virtual std::optional<LoadAnswer> reserve(uint64_t engine, const EngineDemand& demand,
                                            const EngineRoom& room, uint64_t bound) = 0;
  /// The request's prompt was read; it still runs.
  virtual void promptRead(const LoadTicket& ticket) = 0;
  /// The request left the engine.
  virtual void release(const LoadTicket& ticket) = 0;

  // What engines state; by default they state nothing.

  /// The request was not sent: it is counted no more, and its permit is another one's.
  virtual void giveBack(const LoadTicket& ticket) { release(ticket); }
  /// Takes what an answer to a request of this node states.
  virtual void noteStatement(const EngineStatement&) {}
  /// @return the time until a request may be permitted, as far as this node knows; nothing where
  ///         the engine states no limit.
  virtual std::optional<Duration> permitDue(uint64_t) const { return std::nullopt; }
  /// @return whether a request may be sent though nobody answered who counts for the engine.
  virtual bool mayGoUnasked(uint64_t) { return true; }
};

}  // namespace fernmoor::gateway
