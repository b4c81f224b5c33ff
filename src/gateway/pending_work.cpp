#include "gateway/pending_work.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// About ten requests per second end at a busy engine, so this averages over about fifty.
constexpr Duration kObservedHalfLife{4000000};
/// Assumed observations of a new engine, in tokens and seconds. Engines of our users read 38 to 57
/// tokens per millisecond, and a third of most prompts is cached.
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

}  // namespace

double PendingWork::Engine::tokensPerSecond() const {
  return (reading.amount + kAssumedTokens) / (reading.seconds + kAssumedReadingSeconds);
}

double PendingWork::Engine::secondsPerRequest() const {
  return (residence.seconds + kAssumedResidenceSeconds * kAssumedRequests) /
         (residence.amount + kAssumedRequests);
}

uint64_t PendingWork::Engine::waitingTokens() const {
  uint64_t tokens = 0;
  for (const Entry& entry : entries) {
    tokens += entry.isRead ? 0 : entry.request.demand.promptTokens;
  }
  return tokens;
}

double PendingWork::Engine::secondsUntilCapacity(const EngineDemand& demand,
                                                 const EngineRoom& room) const {
  const double residenceSeconds = secondsPerRequest();
  double seconds = 0;
  if (room.places > 0 && entries.size() >= room.places) {
    const auto ends = static_cast<double>(entries.size() - room.places + 1);
    seconds = ends * residenceSeconds / room.places;
  }
  uint64_t memory = demand.memoryTokens;
  for (const Entry& entry : entries) {
    memory += entry.request.demand.memoryTokens;
  }
  if (room.memoryTokens > 0 && memory > room.memoryTokens) {
    const auto missing = static_cast<double>(memory - room.memoryTokens);
    const auto whole = static_cast<double>(room.memoryTokens);
    seconds = std::max(seconds, missing / whole * residenceSeconds);
  }
  return seconds;
}

bool PendingWork::Engine::isStalled(Time now) const {
  for (const Entry& entry : entries) {
    if (entry.isRead) {
      continue;
    }
    // Entries are in order of arrival, so this one has waited longest.
    const Duration expected =
        fromSeconds(static_cast<double>(entry.tokensAtStart) / tokensPerSecond() * kStalledFactor);
    return reading.at < entry.reservedAt &&
           now - entry.reservedAt > std::max(kStalledAfter, expected);
  }
  return false;
}

void PendingWork::forgetUnused(Time now) {
  if (now - sweptAt_ < kSweepInterval) {
    return;
  }
  sweptAt_ = now;
  for (auto engine = engines_.begin(); engine != engines_.end();) {
    const bool isUnused = now - engine->second.usedAt > kUnusedAfter;
    engine = isUnused ? engines_.erase(engine) : std::next(engine);
  }
}

PendingWork::Engine& PendingWork::engineOf(uint64_t id, Time now) {
  forgetUnused(now);
  Engine& engine = engines_[id];
  engine.usedAt = now;
  std::vector<Entry>& entries = engine.entries;
  entries.erase(std::remove_if(entries.begin(), entries.end(),
                               [&](const Entry& entry) { return now >= entry.forgetAt; }),
                entries.end());
  return engine;
}

LoadAnswer PendingWork::reserve(uint64_t id, const PendingRequest& request, const EngineRoom& room,
                                uint64_t bound, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Engine& engine = engineOf(id, now);
  const uint64_t waiting = engine.waitingTokens();
  LoadAnswer answer;
  answer.ticket = LoadTicket{id, request.id};
  answer.tokensPerSecond = engine.tokensPerSecond();
  const double forRoom = engine.secondsUntilCapacity(request.demand, room) * answer.tokensPerSecond;
  answer.pendingTokens = std::max(waiting, static_cast<uint64_t>(forRoom));
  answer.isStalled = engine.isStalled(now);
  answer.presentRequests = static_cast<uint32_t>(engine.entries.size());
  answer.isGranted = answer.pendingTokens < bound && !answer.isStalled;
  if (answer.isGranted) {
    Entry entry;
    entry.request = request;
    entry.reservedAt = now;
    entry.forgetAt = now + request.demand.forgetAfter;
    entry.tokensAtStart = waiting + request.demand.promptTokens;
    // Without a prompt, nothing is read, and a long call is no sign of a stalled engine.
    entry.isRead = request.demand.promptTokens == 0;
    engine.entries.push_back(entry);
  }
  return answer;
}

void PendingWork::add(uint64_t id, const PendingRequest& request, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Entry entry;
  entry.request = request;
  entry.reservedAt = now;
  entry.forgetAt = now + request.demand.forgetAfter;
  entry.isRead = true;
  engineOf(id, now).entries.push_back(entry);
}

size_t PendingWork::countOf(uint64_t id, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return engineOf(id, now).entries.size();
}

void PendingWork::promptRead(uint64_t id, uint64_t owner, uint32_t request, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Engine& engine = engineOf(id, now);
  for (Entry& entry : engine.entries) {
    if (entry.request.owner == owner && entry.request.id == request && !entry.isRead) {
      entry.isRead = true;
      engine.reading.add(static_cast<double>(entry.tokensAtStart),
                         toSeconds(now - entry.reservedAt), now, kObservedHalfLife);
      return;
    }
  }
}

void PendingWork::release(uint64_t id, uint64_t owner, uint32_t request, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Engine& engine = engineOf(id, now);
  const auto entry = std::find_if(
      engine.entries.begin(), engine.entries.end(),
      [&](const Entry& each) { return each.request.owner == owner && each.request.id == request; });
  if (entry == engine.entries.end()) {
    return;
  }
  if (entry->isRead) {
    engine.residence.add(1.0, toSeconds(now - entry->reservedAt), now, kObservedHalfLife);
  }
  engine.entries.erase(entry);
}

void PendingWork::forgetOwner(uint64_t owner) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& engine : engines_) {
    std::vector<Entry>& entries = engine.second.entries;
    entries.erase(std::remove_if(entries.begin(), entries.end(),
                                 [&](const Entry& entry) { return entry.request.owner == owner; }),
                  entries.end());
  }
}

size_t PendingWork::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<size_t>(
      std::count_if(engines_.begin(), engines_.end(),
                    [](const auto& engine) { return !engine.second.entries.empty(); }));
}

}  // namespace fernmoor::gateway
