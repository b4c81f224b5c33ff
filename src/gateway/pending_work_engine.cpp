/// @file
/// What PendingWork counts and decides at one engine.
#include <algorithm>

#include "gateway/pending_work.h"
#include "gateway/wait_policy.h"

namespace fernmoor::gateway {

namespace {

constexpr double kAssumedRequests = 2;
constexpr double kAssumedResidenceSeconds = 1.0;
/// An engine is stalled if a waiting prompt has not been begun after this time and after this
/// multiple of the expected time. A step of a busy engine takes about 0.1 s.
constexpr Duration kStalledAfter{400000};
constexpr double kStalledFactor = 3;
/// An engine has spare room, for answers that are late anyway, up to this part of its places and
/// memory. Beyond it such requests slow down those that can still be in time.
constexpr double kSpareShare = 0.5;
/// Time after its deadline for which a request is counted, see EngineDemand::forgetAfter.
constexpr Duration kForgetMargin{500000};
/// An owner learns which parts an engine holds in this time. Meanwhile, a part that it has not seen
/// before is often cached, so that the time of its prompt does not tell the speed.
constexpr Duration kPartsLearningTime{2000000};

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

}  // namespace fernmoor::gateway
