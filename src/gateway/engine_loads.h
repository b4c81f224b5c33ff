/// @file
/// The load of engines, and the rate limits that they state. A node sees only its own requests, a
/// small part of the load in a large deployment, so the choice of an engine queries an
/// implementation that counts the requests of all nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/time.h"
#include "gateway/stated_limits.h"

namespace fernmoor::gateway {

/// Capacity of one engine; 0 where unknown.
struct EngineRoom {
  uint32_t places = 0;        ///< Maximum requests in its batch.
  uint64_t memoryTokens = 0;  ///< Tokens of prompts, answers and cached parts.
};

/// A part of a prompt that other requests may share.
struct SharedPart {
  uint64_t key = 0;  ///< Includes the scope under which engines cache it, and the weights version.
  uint32_t tokens = 0;
};

/// The resources that a request needs at an engine.
struct EngineDemand {
  uint64_t promptTokens = 0;
  uint64_t memoryTokens = 0;            ///< Prompt and expected answer.
  Duration forgetAfter{3000000};        ///< Then its release is assumed to be lost.
  Duration longestPermitWait{0};        ///< Longest wait for a permit if the engine states a limit.
  bool isCounted = true;                ///< False: it needs only a permit.
  std::vector<SharedPart> sharedParts;  ///< From the beginning of its prompt; may be incomplete.
  std::optional<int> urgency;           ///< 0 is the most urgent; nothing: unknown.
  uint64_t tenant = 0;                  ///< Hash of the tenant's name; 0: none.
  uint64_t requestKey = 0;              ///< The same for the first attempt and a retry; 0: unknown.
  Duration longestPause{0};  ///< Longest time between events for which it is in time; 0: any.
  bool onlySpare =
      false;  ///< It will be late: it is counted only where nobody else needs the room.
};

/// How fast the events of a stream arrived, measured by the node that relayed it.
struct StreamPace {
  uint32_t events = 0;       ///< After the first one; 0: not measured.
  Duration stepping{0};      ///< From the first event to the last one.
  Duration longestPause{0};  ///< Between two events.
};

/// A request that is counted at an engine until it is released or forgotten.
struct LoadTicket {
  uint64_t engine = 0;  ///< Hash of its id.
  uint32_t id = 0;
  bool isCounted = true;    ///< The end of the request must be reported.
  bool hasPermit = false;   ///< The permit must be returned if the request is not sent.
  bool lackedRoom = false;  ///< The engine rejected the request for want of room.
  StreamPace pace{};        ///< Set before the end of the request is reported.
};

struct LoadAnswer {
  bool isGranted = false;  ///< The request is counted; release the ticket.
  /// Queue ahead of the request, of all nodes, in prompt tokens. It is the larger of the tokens
  /// still to be read and the wait for batch places or memory, converted to the tokens that the
  /// engine reads in that time.
  uint64_t pendingTokens = 0;
  /// Recent rate of prompt tokens. Cached ones are included only if the engine's requests have no
  /// shared parts.
  double tokensPerSecond = 0;
  bool isStalled = false;  ///< Prompts are waiting and none has been begun for far too long.
  /// The engine states a limit, and no permit becomes available within longestPermitWait; or it is
  /// brittle, and holds as many requests as it may.
  bool lacksPermit = false;
  Duration permitWait{0};      ///< Time until the request may be sent, or until the next permit.
  Duration firstEventBase{0};  ///< Part of the time to the first event without reading.
  uint64_t readingTokens = 0;  ///< Of the prompt, what the engine still has to read; 0: unknown.
  Duration returnAfter{0};  ///< If refused: from when room is reserved for its retry; 0: none is.
  bool isFromReservation = false;  ///< If granted: by the room that was reserved for this retry.
  /// Requests of all nodes there before this one; nothing: unknown.
  std::optional<uint32_t> presentRequests = std::nullopt;
  LoadTicket ticket;

  /// @return the expected time until the engine begins to read a new request's prompt.
  Duration expectedWait() const {
    return fromSeconds(static_cast<double>(pendingTokens) / tokensPerSecond);
  }
  /// @return the expected time from when it begins to read a prompt of that length until its first
  ///         event.
  Duration expectedReading(uint64_t promptTokens) const {
    return firstEventBase + fromSeconds(static_cast<double>(promptTokens) / tokensPerSecond);
  }
};

/// Implementations are thread-safe.
class EngineLoads {
 public:
  virtual ~EngineLoads() = default;
  /// Counts a request at an engine unless `bound` or more tokens are queued ahead of it. May block
  /// for some milliseconds.
  /// @param engine hash of its id.
  /// @return nothing if the node that counts for the engine did not answer.
  virtual std::optional<LoadAnswer> reserve(uint64_t engine, const EngineDemand& demand,
                                            const EngineRoom& room, uint64_t bound) = 0;
  /// The request's prompt was read; it still runs.
  virtual void promptRead(const LoadTicket& ticket) = 0;
  /// The request left the engine.
  virtual void release(const LoadTicket& ticket) = 0;
  /// @return the number of nodes that send requests to engines, this one included.
  virtual size_t nodeCount() const { return 1; }

  // Statements of engines; the default implementations assume that there are none.

  /// The request was not sent: stops counting it and makes its permit available again.
  virtual void giveBack(const LoadTicket& ticket) { release(ticket); }
  /// Processes a statement in the answer to a request of this node.
  virtual void noteStatement(const EngineStatement&) {}
  /// @return the time until a permit may become available, as far as this node knows; nothing if
  ///         the engine neither states a limit nor is brittle.
  virtual std::optional<Duration> permitDue(uint64_t) const { return std::nullopt; }
  /// @return whether a request may be sent although the node that counts for the engine did not
  ///         answer.
  virtual bool mayGoUnasked(uint64_t) { return true; }
};

}  // namespace fernmoor::gateway
