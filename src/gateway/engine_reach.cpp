#include "gateway/engine_reach.h"

#include <algorithm>

#include "common/log.h"

namespace fernmoor::gateway {

namespace {

/// Engines that are probed before this node takes its own links for lost.
constexpr size_t kWitnesses = 3;
/// Interval between probes while no engine is reached (250 ms): service resumes that soon, and each
/// probe costs one connection attempt.
constexpr Duration kProbeInterval{250000};
/// Engines of a zone that are probed before the link to the zone is taken for lost. More than
/// kWitnesses: several engines of one zone may have crashed within seconds, and are listed still.
constexpr size_t kZoneWitnesses = 6;
/// A zone found unreachable is not probed again for this long (250 ms): many runs break off at once
/// when a zone is cut off.
constexpr Duration kZoneCheckLifetime{250000};

}  // namespace

const char* phraseOf(ReachState state) {
  switch (state) {
    case ReachState::kReached:
      return "reached";
    case ReachState::kNoNewConnections:
      return "established connections only";
    case ReachState::kPartitioned:
      return "none reached";
  }
  return "";
}

bool needsWitnesses(const ReachEvidence& evidence) {
  if (evidence.unreached == 0 || evidence.lastConnected > evidence.lastFailure) {
    return false;
  }
  return evidence.unreached > 1 || evidence.lastHeard <= evidence.lastFailure;
}

ReachEvidence EngineReach::evidence() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  ReachEvidence known;
  known.unreached = unreached_.size();
  known.lastFailure = lastFailure_;
  known.lastConnected = lastConnected_;
  known.lastHeard = lastHeard_;
  return known;
}

void EngineReach::noteConnected() {
  lastConnected_ = clock_.now();
  if (!hasFailures_) {
    return;  // The common case; avoids the lock on the request path.
  }
  bool wasLost = false;
  Duration lasted{};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    unreached_.clear();
    hasFailures_ = false;
    wasLost = newConnectionsFail_.exchange(false);
    lasted = clock_.now() - lostAt_;
  }
  if (wasLost) {
    onChange_(false);
    LogFields fields;
    fields.elapsed = lasted;
    logWarning("engines: reached again", fields);
  }
}

void EngineReach::noteUnreached(const std::string& engine) {
  const std::lock_guard<std::mutex> lock(mutex_);
  lastFailure_ = clock_.now();
  unreached_.insert(engine);
  hasFailures_ = true;
  failed_.notify_one();
}

void EngineReach::noteHeard() {
  lastHeard_ = clock_.now();
}

ReachState EngineReach::state() const {
  if (!newConnectionsFail_) {
    return ReachState::kReached;
  }
  return isHeardSince(clock_.now() - kHeardWindow) ? ReachState::kNoNewConnections
                                                   : ReachState::kPartitioned;
}

bool EngineReach::isProvenSince(Time at) const {
  return lastConnected_.load() >= at || isHeardSince(at);
}

bool EngineReach::isHeardSince(Time at) const {
  return lastHeard_.load() >= at;
}

bool EngineReach::reachesAnotherThan(const std::string& engine, Time since) {
  if (isProvenSince(since)) {
    return true;
  }
  return !newConnectionsFail_ && reachesAnyBut({engine}, kWitnesses);
}

Random EngineReach::drawRandom() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return Random(random_.next());
}

bool EngineReach::reachesAnyOf(const std::vector<BackendListing>& engines) {
  for (const BackendListing& witness : engines) {
    if (probe_(witness)) {
      noteConnected();
      return true;
    }
    noteUnreached(witness.id);
  }
  return false;
}

bool EngineReach::reachesAnyBut(const std::set<std::string>& leftOut, size_t count) {
  Random random = drawRandom();
  return reachesAnyOf(backends_.drawUsable(count, leftOut, random));
}

bool EngineReach::reachesNeighbourOf(const BackendListing& engine, Time since) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto known = zoneChecks_.find(engine.zone);
    if (known != zoneChecks_.end()) {
      const ZoneCheck& check = known->second;
      const bool isRecent = clock_.now() - check.at < kZoneCheckLifetime;
      if (check.isReached ? check.at >= since : isRecent) {
        return check.isReached;
      }
    }
  }
  Random random = drawRandom();
  const std::vector<BackendListing> neighbours =
      backends_.drawUsable(kZoneWitnesses, {engine.id}, random, engine.zone);
  if (neighbours.empty()) {
    return reachesAnotherThan(engine.id, since);
  }
  const bool isReached = reachesAnyOf(neighbours);
  const std::lock_guard<std::mutex> lock(mutex_);
  zoneChecks_[engine.zone] = ZoneCheck{clock_.now(), isReached};
  return isReached;
}

void EngineReach::waitForWork() {
  std::unique_lock<std::mutex> lock(mutex_);
  failed_.wait(lock, [this] { return hasFailures_.load(); });
}

void EngineReach::declareLost() {
  Duration sinceHeard{};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    lostAt_ = clock_.now();
    sinceHeard = lostAt_ - lastHeard_.load();
    nextProbeAt_ = lostAt_ + kProbeInterval;
    newConnectionsFail_ = true;
  }
  onChange_(true);
  LogFields fields;
  fields.elapsed = sinceHeard;
  logWarning(
      std::string("engines: new connections fail, also to others that did not fail before; ") +
          phraseOf(state()),
      fields);
}

void EngineReach::step() {
  if (newConnectionsFail_) {
    const Time now = clock_.now();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (now < nextProbeAt_) {
        return;
      }
      nextProbeAt_ = now + kProbeInterval;
    }
    reachesAnyBut({}, 1);
    return;
  }
  if (!needsWitnesses(evidence())) {
    const std::lock_guard<std::mutex> lock(mutex_);
    unreached_.clear();
    hasFailures_ = false;
    return;
  }
  std::set<std::string> unreached;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    unreached = unreached_;
  }
  if (!reachesAnyBut(unreached, kWitnesses)) {
    declareLost();
  }
}

}  // namespace fernmoor::gateway
