#include "gateway/pending_work.h"

#include <algorithm>
#include <limits>

namespace fernmoor::gateway {

namespace {

/// About ten requests per second end at a busy engine, so this averages over about fifty.
constexpr Duration kObservedHalfLife{4000000};
/// Unused engines and their observations are removed after this time.
constexpr Duration kUnusedAfter{20000000};
constexpr Duration kSweepInterval{5000000};
/// From this bound on, a question accepts any queue: the node has no other engine to ask.
constexpr uint64_t kAnyQueue = std::numeric_limits<uint32_t>::max();
/// Other engines are assumed to be as fast as one that was observed for at least this time.
constexpr double kMinObservedSeconds = 0.1;
constexpr Duration kAssumptionInterval{1000000};
/// An engine that rejected a request for lack of capacity counts as full for this time. About ten
/// requests per second end at a busy engine, so two have probably ended by then.
constexpr Duration kFullAfterRejection{200000};
/// A request that has to wait and whose node then finds the wait too long is released within this
/// time. It was not sent.
constexpr Duration kGivenBackWithin{20000};

/// @return the request without its shared parts if the cached ones can't be predicted, because the
///         capacity of its engine is unknown.
PendingRequest predictablePart(PendingRequest request, const EngineRoom& room) {
  if (room.places == 0 || room.memoryTokens == 0) {
    request.demand.sharedParts.clear();
  }
  return request;
}

/// @return the request without its prompt.
PendingRequest withoutPrompt(PendingRequest request) {
  request.demand.promptTokens = 0;
  request.demand.sharedParts.clear();
  return request;
}

}  // namespace

template <class Predicate>
void PendingWork::Engine::removeIf(Predicate predicate, Time now) {
  for (const Entry& entry : entries) {
    if (predicate(entry)) {
      occupancy.remove(entry.occupant);
      sharing.noteEnd(entry.claim, entry.isRead, now);
    }
  }
  entries.erase(std::remove_if(entries.begin(), entries.end(), predicate), entries.end());
}

void PendingWork::forgetUnused(Time now) {
  if (now - sweptAt_ < kSweepInterval) {
    return;
  }
  sweptAt_ = now;
  for (auto engine = engines_.begin(); engine != engines_.end();) {
    const bool isUnused = now - engine->second.usedAt > kUnusedAfter;
    if (isUnused) {
      returnsOfForgotten_ += engine->second.returns.counts();
    }
    engine = isUnused ? engines_.erase(engine) : std::next(engine);
  }
}

PendingWork::Engine& PendingWork::engineOf(uint64_t id, Time now) {
  forgetUnused(now);
  Engine& engine = engines_[id];
  engine.usedAt = now;
  engine.removeIf([&](const Entry& entry) { return now >= entry.forgetAt; }, now);
  return engine;
}

void PendingWork::assumeSpeed(uint64_t id, Engine& engine, Time now) {
  if (engine.assumedTokensPerSecond > 0 && now - engine.assumedAt < kAssumptionInterval) {
    return;
  }
  const EngineRoom& capacity = engine.occupancy.capacity();
  double fastest = 0;
  for (const auto& [otherId, other] : engines_) {
    const EngineRoom& otherCapacity = other.occupancy.capacity();
    const bool isAlike = otherCapacity.places == capacity.places &&
                         otherCapacity.memoryTokens == capacity.memoryTokens;
    if (otherId == id || !isAlike || !other.occupancy.knowsParts()) {
      continue;
    }
    if (other.reading.fadedTo(now, kObservedHalfLife).seconds >= kMinObservedSeconds) {
      fastest = std::max(fastest, other.readingLine(now).tokensPerSecond);
    }
  }
  engine.assumedTokensPerSecond = fastest > 0 ? fastest : kAssumedTokens / kAssumedReadingSeconds;
  engine.assumedAt = now;
}

void PendingWork::countRefusal(const Standing& standing) {
  if (standing.orderRefusal) {
    const RoomRefusal reason = *standing.orderRefusal;
    ++(reason == RoomRefusal::kMemory  ? refusals_.memory
       : reason == RoomRefusal::kShare ? refusals_.share
                                       : refusals_.urgency);
    return;
  }
  const double readingSeconds =
      std::max(static_cast<double>(standing.missing.unreadTokens) / standing.tokensPerSecond,
               standing.secondsAfterRejection);
  const bool isForPlace = standing.secondsUntilPlace >= standing.secondsUntilMemory;
  if (std::max(standing.secondsUntilPlace, standing.secondsUntilMemory) <= readingSeconds) {
    ++refusals_.reading;
  } else {
    ++(isForPlace ? refusals_.places : refusals_.memory);
  }
}

LoadAnswer PendingWork::reserve(uint64_t id, const PendingRequest& asked, const EngineRoom& room,
                                uint64_t bound, Time now) {
  const PendingRequest request = predictablePart(asked, room);
  const std::lock_guard<std::mutex> lock(mutex_);
  Engine& engine = engineOf(id, now);
  engine.occupancy.setCapacity(room);
  assumeSpeed(id, engine, now);
  const bool isReturn = engine.returns.isDue(request.demand.requestKey, now);
  const Standing standing = engine.standingFor(request.demand, now);
  LoadAnswer answer;
  answer.ticket = LoadTicket{id, request.id};
  answer.tokensPerSecond = standing.tokensPerSecond;
  answer.firstEventBase = standing.reading.base;
  answer.readingTokens = standing.readingTokens;
  answer.pendingTokens = standing.pendingTokens();
  answer.isStalled = standing.isStalled;
  answer.presentRequests = static_cast<uint32_t>(engine.entries.size());
  const bool isLastQuestion = bound >= kAnyQueue;
  const bool keepsGaps =
      standing.missing.unreadTokens + standing.readingTokens <= standing.mostReadingTokens;
  const bool isAdmitted = answer.pendingTokens < bound && !standing.orderRefusal &&
                          (keepsGaps || isLastQuestion) &&
                          (!request.demand.onlySpare || standing.hasSpareRoom);
  // The reservation is for what the request lacked when it was refused: since then, parts that it
  // shares may have left the memory, and others may hold what was to become free.
  const bool isCovered = isReturn && standing.missing.hasMemory();
  answer.isGranted = (isAdmitted || isCovered) && !answer.isStalled;
  answer.isFromReservation = answer.isGranted && isReturn;
  if (answer.isGranted) {
    if (!engine.returns.claim(request.demand.requestKey, now)) {
      engine.returns.cancel(request.demand.requestKey);
    }
    engine.count(request, standing, now);
    return answer;
  }
  countRefusal(standing);
  if (isLastQuestion) {
    const auto reason = standing.orderRefusal ? standing.orderRefusal : standing.roomRefusal;
    if (!request.demand.onlySpare) {
      engine.sharing.noteRefusal(standing.claim, reason.value_or(RoomRefusal::kReading), now);
    }
    answer.returnAfter = engine.reserveReturn(request.demand, standing, now);
  }
  return answer;
}

void PendingWork::add(uint64_t id, const PendingRequest& request, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Engine& engine = engineOf(id, now);
  engine.count(withoutPrompt(request), Standing{}, now);
  engine.markRead(engine.entries.back(), now);
}

void PendingWork::renew(uint64_t id, const PendingRequest& request, const EngineRoom& room,
                        bool isRead, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Engine& engine = engineOf(id, now);
  Entry* entry = engine.find(request.owner, request.id);
  if (entry == nullptr) {
    const bool hasPrompt = request.demand.isCounted;
    const PendingRequest counted =
        hasPrompt ? predictablePart(request, room) : withoutPrompt(request);
    if (hasPrompt) {
      engine.occupancy.setCapacity(room);
    }
    assumeSpeed(id, engine, now);
    engine.count(counted, engine.standingFor(counted.demand, now), now);
    entry = &engine.entries.back();
    entry->isMeasured = false;
    entry->isRenewed = true;
    isRead = isRead || !hasPrompt;
  }
  if (isRead && !entry->isRead) {
    engine.markRead(*entry, now);
  }
}

size_t PendingWork::countOf(uint64_t id, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return engineOf(id, now).entries.size();
}

void PendingWork::promptRead(uint64_t id, uint64_t owner, uint32_t request, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Engine& engine = engineOf(id, now);
  Entry* const entry = engine.find(owner, request);
  if (entry == nullptr || entry->isRead) {
    return;
  }
  engine.markRead(*entry, now);
  if (entry->reservedAt > engine.rejectedAt) {
    engine.fullUntil = std::min(engine.fullUntil, now);
  }
  const Duration took = now - entry->reservedAt;
  if (entry->isMeasured && engine.occupancy.knowsParts()) {
    engine.readingModel.note(static_cast<double>(entry->tokensAtStart), took, now);
    const Duration reading = std::max(Duration(0), took - engine.readingLine(now).base);
    engine.pace.noteReading(entry->tokensAtStart, reading, now);
  }
  if (entry->isMeasured) {
    engine.reading.add(static_cast<double>(entry->tokensAtStart), toSeconds(took), now,
                       kObservedHalfLife);
  } else {
    engine.reading.add(0, 0, now, kObservedHalfLife);  // The engine is not stalled.
  }
}

void PendingWork::release(uint64_t id, uint64_t owner, uint32_t request, Time now,
                          const StreamPace& pace) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Engine& engine = engineOf(id, now);
  const Entry* const entry = engine.find(owner, request);
  if (entry == nullptr) {
    return;
  }
  if (pace.events > 0) {
    engine.pace.noteStream(pace, now);
  }
  if (entry->isRead && !entry->isRenewed) {
    engine.residence.add(1.0, toSeconds(now - entry->reservedAt), now, kObservedHalfLife);
  }
  const bool isGivenBack =
      entry->awaited && !entry->isRead && now - entry->reservedAt <= kGivenBackWithin;
  const RoomRefusal awaited = entry->awaited.value_or(RoomRefusal::kReading);
  const RoomClaim claim = entry->claim;
  engine.removeIf(
      [&](const Entry& each) { return each.request.owner == owner && each.request.id == request; },
      now);
  if (isGivenBack) {
    engine.sharing.noteGivenBack(claim, awaited, now);
  }
}

void PendingWork::noteRejection(uint64_t id, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Engine& engine = engineOf(id, now);
  if (engine.occupancy.knowsParts()) {
    engine.rejectedAt = now;
    engine.fullUntil = now + kFullAfterRejection;
  }
}

size_t PendingWork::forgetOwner(uint64_t owner, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  size_t count = 0;
  for (auto& engine : engines_) {
    const size_t before = engine.second.entries.size();
    engine.second.removeIf([&](const Entry& entry) { return entry.request.owner == owner; }, now);
    count += before - engine.second.entries.size();
  }
  return count;
}

size_t PendingWork::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<size_t>(
      std::count_if(engines_.begin(), engines_.end(),
                    [](const auto& engine) { return !engine.second.entries.empty(); }));
}

RoomRefusals PendingWork::refusals() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return refusals_;
}

ReturnCounts PendingWork::returns() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  ReturnCounts sum = returnsOfForgotten_;
  for (const auto& engine : engines_) {
    sum += engine.second.returns.counts();
  }
  return sum;
}

}  // namespace fernmoor::gateway
