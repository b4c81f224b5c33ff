#include "gateway/pending_work.h"

#include <algorithm>
#include <limits>

#include "gateway/wait_policy.h"

namespace fernmoor::gateway {

namespace {

/// About ten requests per second end at a busy engine, so this averages over about fifty.
constexpr Duration kObservedHalfLife{4000000};
/// Assumed observations of a new engine, in tokens and seconds. Engines of our users read 38 to 57
/// tokens per millisecond, and a third of most prompts is cached. Without the cached tokens, the
/// slowest of them still reads 38 tokens per millisecond.
constexpr double kAssumedTokens = 20000;
constexpr double kAssumedReadingSeconds = 0.5;
constexpr double kAssumedRequests = 2;
constexpr double kAssumedResidenceSeconds = 1.0;
/// An engine is stalled if a waiting prompt has not been begun after this time and after this
/// multiple of the expected time. A step of a busy engine takes about 0.1 s.
constexpr Duration kStalledAfter{400000};
constexpr double kStalledFactor = 3;
/// Unused engines and their observations are removed after this time.
constexpr Duration kUnusedAfter{20000000};
constexpr Duration kSweepInterval{5000000};
/// An engine has spare room, for answers that are late anyway, up to this part of its places and
/// memory. Beyond it such requests slow down those that can still be in time.
constexpr double kSpareShare = 0.5;
/// A bound from which on a question is about any queue: the node has no other engine to ask.
constexpr uint64_t kAnyQueue = std::numeric_limits<uint32_t>::max();
/// Time after its deadline for which a request is counted, see EngineDemand::forgetAfter.
constexpr Duration kForgetMargin{500000};
/// An owner learns which parts an engine holds in this time. Meanwhile, a part that it has not seen
/// before is often cached, so that the time of its prompt does not tell the speed.
constexpr Duration kPartsLearningTime{2000000};
/// An engine's speed is assumed of others if it was observed for at least this time.
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

uint64_t PendingWork::Standing::pendingTokens() const {
  // A request that others precede returns no sooner. Otherwise its node would take this engine for
  // the one with the shortest wait, and the request would be refused although others have room.
  const double secondsUntilReturn = orderRefusal ? toSeconds(kMinReturnWhenBusy) : 0;
  const double seconds =
      std::max({secondsUntilPlace, secondsUntilMemory, secondsAfterRejection, secondsUntilReturn});
  return std::max(missing.unreadTokens, static_cast<uint64_t>(seconds * tokensPerSecond));
}

double PendingWork::Engine::tokensPerSecond(Time now) const {
  if (!occupancy.knowsParts()) {
    return (reading.amount + kAssumedTokens) / (reading.seconds + kAssumedReadingSeconds);
  }
  return readingLine(now).tokensPerSecond;
}

ReadingLine PendingWork::Engine::readingLine(Time now) const {
  return readingModel.line(assumedTokensPerSecond, now);
}

Duration PendingWork::Engine::shortestPause() const {
  Duration shortest{0};
  for (const Entry& entry : entries) {
    const Duration pause = entry.request.demand.longestPause;
    if (entry.isRead && pause > Duration(0) && (shortest == Duration(0) || pause < shortest)) {
      shortest = pause;
    }
  }
  return shortest;
}

double PendingWork::Engine::secondsPerRequest() const {
  return (residence.seconds + kAssumedResidenceSeconds * kAssumedRequests) /
         (residence.amount + kAssumedRequests);
}

bool PendingWork::Engine::isStalled(Time now) const {
  for (const Entry& entry : entries) {
    if (entry.isRead) {
      continue;
    }
    // Entries are in order of arrival, so this one has waited longest.
    const ReadingLine line =
        occupancy.knowsParts() ? readingLine(now) : ReadingLine{Duration(0), tokensPerSecond(now)};
    const double seconds =
        toSeconds(line.base) + static_cast<double>(entry.tokensAtStart) / line.tokensPerSecond;
    const Duration expected = fromSeconds(seconds * kStalledFactor);
    return reading.at < entry.reservedAt &&
           now - entry.reservedAt > std::max(kStalledAfter, expected);
  }
  return false;
}

uint64_t PendingWork::Engine::tokensReadOfFirst(const ReadingLine& line, Time now) const {
  const auto first = std::find_if(entries.begin(), entries.end(),
                                  [](const Entry& entry) { return !entry.isRead; });
  if (first == entries.end() || !occupancy.knowsParts()) {
    return 0;
  }
  const Duration since = now - std::max(first->reservedAt, reading.at) - line.base;
  const double read = std::max(0.0, toSeconds(since) * line.tokensPerSecond);
  // Until its first event, at least a token is left.
  const uint64_t most = std::min(first->readingTokens, occupancy.unreadTokens());
  return std::min(static_cast<uint64_t>(read), most > 0 ? most - 1 : 0);
}

PendingWork::Standing PendingWork::Engine::standingFor(const EngineDemand& demand, Time now) {
  const EngineRoom& capacity = occupancy.capacity();
  Standing standing;
  standing.missing = occupancy.missingRoom(demand);
  standing.tokensPerSecond = tokensPerSecond(now);
  standing.reading = occupancy.knowsParts() ? readingLine(now)
                                            : ReadingLine{Duration(0), standing.tokensPerSecond};
  standing.readingTokens = occupancy.readingTokens(demand);
  standing.missing.unreadTokens -= tokensReadOfFirst(standing.reading, now);
  const double residenceSeconds = secondsPerRequest();
  if (!standing.missing.hasPlace()) {
    standing.secondsUntilPlace =
        static_cast<double>(standing.missing.places) * residenceSeconds / capacity.places;
  }
  if (!standing.missing.hasMemory()) {
    standing.secondsUntilMemory = static_cast<double>(standing.missing.memoryTokens) /
                                  static_cast<double>(capacity.memoryTokens) * residenceSeconds;
  }
  standing.secondsAfterRejection = toSeconds(std::max(Duration(0), fullUntil - now));
  standing.isStalled = isStalled(now);
  standing.mostReadingTokens = pace.maxReadingTokens(shortestPause(), standing.missing.unreadTokens,
                                                     standing.readingTokens, now);
  decideOrder(demand, standing, now);
  return standing;
}

void PendingWork::Engine::decideOrder(const EngineDemand& demand, Standing& standing, Time now) {
  const EngineRoom& room = occupancy.capacity();
  if (room.places == 0 || room.memoryTokens == 0) {
    return;
  }
  standing.claim.urgency = demand.urgency;
  standing.claim.tenant = demand.tenant;
  standing.claim.amounts = RoomAmounts{1, static_cast<double>(occupancy.addedMemoryTokens(demand)),
                                       static_cast<double>(standing.readingTokens)};
  const RoomAmounts held = returns.held(now, demand.requestKey);
  EngineState engine;
  engine.capacity.places = std::max(1.0, room.places - held.places);
  engine.capacity.memoryTokens =
      std::max(1.0, static_cast<double>(room.memoryTokens) - held.memoryTokens);
  // Reading has no reserve: a prompt occupies it for a fraction of a second, and its wait is
  // weighed by the node. Reserves for it refused prompts at engines that were nearly idle.
  engine.capacity.readingTokens = 0;
  engine.used = RoomAmounts{static_cast<double>(occupancy.present()),
                            static_cast<double>(occupancy.occupiedTokens()),
                            static_cast<double>(occupancy.unreadTokens())};
  standing.hasSpareRoom =
      standing.missing.unreadTokens == 0 &&
      engine.used.places + held.places < room.places * kSpareShare &&
      engine.used.memoryTokens + held.memoryTokens + standing.claim.amounts.memoryTokens <
          static_cast<double>(room.memoryTokens) * kSpareShare;
  const std::optional<RoomRefusal> refusal = sharing.refusalOf(standing.claim, engine, now);
  const bool isMemory = refusal == RoomRefusal::kMemory && occupancy.present() > 0;
  const bool isOrder =
      refusal == RoomRefusal::kShare || refusal == RoomRefusal::kUrgency || isMemory;
  // Places and reading that are used up are a wait, which the node weighs. An engine whose memory
  // is used up preempts requests that run, and reads their prompts again.
  (isOrder ? standing.orderRefusal : standing.roomRefusal) = refusal;
}

Duration PendingWork::Engine::reserveReturn(const EngineDemand& demand, const Standing& standing,
                                            Time now) {
  const EngineRoom& room = occupancy.capacity();
  // A tenant above its share would otherwise get by its retries what its first attempts may not.
  const bool isAboveShare = standing.orderRefusal == RoomRefusal::kShare;
  if (demand.requestKey == 0 || room.places == 0 || isAboveShare) {
    return Duration(0);
  }
  const double perSecond = 1 / secondsPerRequest();
  ReservableRoom whole;
  whole.whole =
      RoomAmounts{static_cast<double>(room.places), static_cast<double>(room.memoryTokens), 0};
  whole.freedPerSecond =
      RoomAmounts{room.places * perSecond, static_cast<double>(room.memoryTokens) * perSecond,
                  standing.tokensPerSecond};
  const Duration wait =
      fromSeconds(static_cast<double>(standing.pendingTokens()) / standing.tokensPerSecond);
  const Duration left = std::max(Duration(0), demand.forgetAfter - kForgetMargin);
  const ReturnWindow window{now + std::max(kMinReturn, wait), now + left / kMaxReturnDivisor};
  const std::optional<Time> at =
      returns.reserve(demand.requestKey, standing.claim.amounts, whole, window, now);
  return at ? std::max(kMinReturn, *at - now) : Duration(0);
}

void PendingWork::Engine::count(const PendingRequest& request, const Standing& standing, Time now) {
  const bool knewParts = occupancy.knowsParts();
  Entry entry;
  entry.request = request;
  entry.reservedAt = now;
  entry.forgetAt = now + request.demand.forgetAfter;
  entry.readingTokens = standing.readingTokens;
  entry.tokensAtStart = standing.missing.unreadTokens + standing.readingTokens;
  entry.occupant = occupancy.add(request.demand);
  entry.claim = standing.claim;
  if (!request.demand.onlySpare && (standing.roomRefusal || standing.missing.unreadTokens > 0)) {
    entry.awaited = standing.roomRefusal.value_or(RoomRefusal::kReading);
  }
  sharing.noteStart(entry.claim, now);
  // Without a prompt, nothing is read, and a long call is no sign of a stalled engine.
  entry.isRead = request.demand.promptTokens == 0;
  if (entry.isRead) {
    sharing.notePromptRead(entry.claim, now);
  }
  if (occupancy.knowsParts()) {
    partsKnownSince = knewParts ? partsKnownSince : now;
    const bool isLearning = now - partsKnownSince < kPartsLearningTime;
    entry.isMeasured = standing.missing.hasPlace() && standing.missing.hasMemory() &&
                       !(isLearning && occupancy.unreadPartTokens() > 0);
  }
  entries.push_back(std::move(entry));
}

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

PendingWork::Entry* PendingWork::Engine::find(uint64_t owner, uint32_t id) {
  const auto entry = std::find_if(entries.begin(), entries.end(), [&](const Entry& each) {
    return each.request.owner == owner && each.request.id == id;
  });
  return entry == entries.end() ? nullptr : &*entry;
}

void PendingWork::Engine::markRead(Entry& entry, Time now) {
  if (!entry.isRead) {
    sharing.notePromptRead(entry.claim, now);
  }
  entry.isRead = true;
  occupancy.promptRead(entry.occupant);
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
