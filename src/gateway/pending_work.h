/// @file
/// Counts the requests that wait and run at each engine for EngineLoads, and estimates the engine's
/// throughput and the expected wait of a new request. A request whose end is not reported expires,
/// so that a lost message or a failed node does not make an engine look full.
///
/// The speed of an engine whose requests have shared parts is in prompt tokens that it had to read,
/// without the cached ones. Otherwise it is in tokens of whole prompts.
///
/// Where the capacity of an engine and the urgency of a request are known, less urgent requests
/// leave a reserve for more urgent ones and tenants get fair shares (RoomSharing), and room is kept
/// for callers that were refused (ReturnReservations). Prompts are read only as fast as the streams
/// that run there keep their maximum gap (EnginePace), unless no engine can take the prompt.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/decay.h"
#include "gateway/engine_loads.h"
#include "gateway/engine_occupancy.h"
#include "gateway/engine_pace.h"
#include "gateway/reading_model.h"
#include "gateway/return_reservations.h"
#include "gateway/room_sharing.h"

namespace fernmoor::gateway {

/// A request as identified by the node that sent it.
struct PendingRequest {
  uint64_t owner = 0;  ///< The node that sent it.
  uint32_t id = 0;     ///< Unique within that node.
  EngineDemand demand;
};

/// Requests that were not granted, by the resource that they would have waited longest for.
struct RoomRefusals {
  uint64_t places = 0;
  uint64_t memory = 0;
  uint64_t reading = 0;  ///< Includes the time for which a rejection marks the engine as full.
  uint64_t share = 0;    ///< Its tenant has more than its fair share.
  uint64_t urgency = 0;  ///< The room is kept for more urgent requests.
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
  /// Counts a request that the engine got before this node counted for it, without a decision. One
  /// that is counted already is only marked as read if it was.
  void renew(uint64_t engine, const PendingRequest& request, const EngineRoom& room, bool isRead,
             Time now);
  /// @return the number of requests that are counted at the engine.
  size_t countOf(uint64_t engine, Time now);
  /// The engine began to answer the request.
  void promptRead(uint64_t engine, uint64_t owner, uint32_t id, Time now);
  /// @param pace of the events of its stream; not used without events.
  void release(uint64_t engine, uint64_t owner, uint32_t id, Time now,
               const StreamPace& pace = StreamPace{});
  /// The engine rejected a request for lack of capacity although it was expected to have room: it
  /// counts as full for a short time, or until it begins to answer a request sent later.
  void noteRejection(uint64_t engine, Time now);
  /// Removes all requests of a node that was restarted or is gone. @return their number.
  size_t forgetOwner(uint64_t owner, Time now);
  /// @return the number of engines with counted requests.
  size_t size() const;
  RoomRefusals refusals() const;
  /// @return what became of the reservations for retries, over all engines.
  ReturnCounts returns() const;

 private:
  /// Assumed observations of a new engine, in tokens and seconds. Engines of our users read 38 to
  /// 57 tokens per millisecond, and a third of most prompts is cached. Without the cached tokens,
  /// the slowest of them still reads 38 tokens per millisecond.
  static constexpr double kAssumedTokens = 20000;
  static constexpr double kAssumedReadingSeconds = 0.5;

  struct Entry {
    PendingRequest request;
    Occupant occupant;
    RoomClaim claim;
    Time reservedAt;
    Time forgetAt;
    uint64_t readingTokens = 0;  ///< Of its own prompt.
    uint64_t tokensAtStart = 0;  ///< Prompt tokens to be read when it was added, its own included.
    std::optional<RoomRefusal> awaited;  ///< What it has to wait for, if anything.
    bool isRead = false;
    bool isMeasured = true;  ///< The time to its first event tells how fast the engine reads.
    bool isRenewed = false;  ///< It was sent to the engine before it was counted here.
  };

  /// What a new request finds at an engine.
  struct Standing {
    MissingRoom missing;
    ReadingLine reading;  ///< Expected time to the first event.
    double tokensPerSecond = 0;
    uint64_t readingTokens = 0;        ///< Of the request's prompt.
    uint64_t mostReadingTokens = 0;    ///< That keep the gaps of the streams there.
    double secondsUntilPlace = 0;      ///< 0 if there is one.
    double secondsUntilMemory = 0;     ///< 0 if there is enough.
    double secondsAfterRejection = 0;  ///< For which the engine still counts as full.
    bool isStalled = false;
    RoomClaim claim;                          ///< What the request would add.
    std::optional<RoomRefusal> orderRefusal;  ///< Set if others go first, or for want of memory.
    std::optional<RoomRefusal> roomRefusal;   ///< Set if a resource is used up.

    /// Whether nobody else needs the room: nothing waits, and less than half of it is in use.
    bool hasSpareRoom = false;
    /// @return the queue ahead of the request in prompt tokens: see LoadAnswer.
    uint64_t pendingTokens() const;
  };

  struct Engine {
    std::vector<Entry> entries;  ///< In order of arrival.
    EngineOccupancy occupancy;
    RoomSharing sharing;
    ReturnReservations returns;
    EnginePace pace;
    ReadingModel readingModel;
    DecayingQuotient reading;    ///< Prompt tokens, and the time to the first event.
    DecayingQuotient residence;  ///< Requests, and the time from their reservation to their end.
    double assumedTokensPerSecond = 0;  ///< Until the engine's own speed is observed.
    Time assumedAt;                     ///< When that was last computed.
    Time partsKnownSince;               ///< The first request with shared parts.
    Time rejectedAt;
    Time fullUntil;
    Time usedAt;

    double tokensPerSecond(Time now) const;
    ReadingLine readingLine(Time now) const;
    /// @return the shortest maximum gap of the streams that run there; 0: none has one.
    Duration shortestPause() const;
    /// @return an estimate of how much was read of the prompt that is being read now. The engine
    ///         reports a prompt only when all of it was read.
    uint64_t tokensReadOfFirst(const ReadingLine& line, Time now) const;
    double secondsPerRequest() const;
    bool isStalled(Time now) const;
    Standing standingFor(const EngineDemand& demand, Time now);
    /// Decides whether others go first.
    void decideOrder(const EngineDemand& demand, Standing& standing, Time now);
    /// Reserves room for the retry of a request that is refused. @return 0 if there is none.
    Duration reserveReturn(const EngineDemand& demand, const Standing& standing, Time now);
    void count(const PendingRequest& request, const Standing& standing, Time now);
    /// Removes the entries for which the predicate holds.
    template <class Predicate>
    void removeIf(Predicate predicate, Time now);
    Entry* find(uint64_t owner, uint32_t id);
    void markRead(Entry& entry, Time now);
  };

  Engine& engineOf(uint64_t engine, Time now);
  /// Updates what is assumed of an engine before its own speed is observed: the speed of the
  /// fastest observed engine with the same stated capacity.
  void assumeSpeed(uint64_t id, Engine& engine, Time now);
  void countRefusal(const Standing& standing);
  void forgetUnused(Time now);

  mutable std::mutex mutex_;
  std::unordered_map<uint64_t, Engine> engines_;
  RoomRefusals refusals_;
  ReturnCounts returnsOfForgotten_;  ///< Of engines that were removed.
  Time sweptAt_;
};

}  // namespace fernmoor::gateway
