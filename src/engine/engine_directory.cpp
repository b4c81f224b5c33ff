#include "engine/engine_directory.h"

#include <algorithm>
#include <set>

namespace fernmoor {

namespace {

/// Limit of the backoff exponent; 2^6 times the first pause exceeds the longest pause anyway.
constexpr int64_t kMaxDoublings = 6;

}  // namespace

void EngineDirectory::setAddresses(const std::vector<EngineAddress>& addresses, Time now) {
  const RankedLock lock(mutex_);
  std::set<EngineId> listed;
  for (const EngineAddress& address : addresses) {
    listed.insert(address.id);
    Entry& entry = entries_[address.id];
    entry.state.id = address.id;
    entry.state.zone = address.zone;
    entry.state.address = address.address;
    entry.leaving = address.leaving;
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const bool silent = now - entry->second.lastReport > knobs_.engineReportTimeout;
    const bool gone = listed.count(entry->first) == 0 && silent;
    entry = gone ? entries_.erase(entry) : std::next(entry);
  }
}

void EngineDirectory::update(const EngineState& state, Time now) {
  const RankedLock lock(mutex_);
  Entry& entry = entries_[state.id];
  const bool sameIncarnation = entry.state.incarnation == state.incarnation;
  if (state.incarnation < entry.state.incarnation ||
      (sameIncarnation && state.load.measuredAt < entry.state.load.measuredAt)) {
    return;
  }
  if (!sameIncarnation) {
    entry.failures = 0;
    entry.suspectUntil = Time{};
  }
  const EngineState known = entry.state;
  entry.state = state;
  if (state.address.port == 0) {
    // Owners' reports omit the fields that come from the machine list.
    entry.state.address = known.address;
    entry.state.zone = known.zone;
  }
  entry.reported = true;
  entry.lastReport = now;
}

void EngineDirectory::reportFailure(const EngineId& engine, Time now) {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  const int64_t doublings = std::min(entry.failures, kMaxDoublings);
  const Duration pause = knobs_.engineFirstPause * (int64_t{1} << doublings);
  ++entry.failures;
  entry.suspectUntil = now + std::min(pause, Duration(knobs_.engineLongestPause));
}

void EngineDirectory::reportSuccess(const EngineId& engine) {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  if (found == entries_.end()) {
    return;
  }
  found->second.failures = 0;
  found->second.suspectUntil = Time{};
}

void EngineDirectory::reportStale(const EngineId& engine, Incarnation placedFor) {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  if (found != entries_.end() && found->second.state.incarnation == placedFor) {
    found->second.reported = false;
  }
}

void EngineDirectory::setDrained(const EngineId& engine, bool drained) {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  if (found != entries_.end()) {
    found->second.drained = drained;
  }
}

EngineStatus EngineDirectory::statusOf(const Entry& entry, Time now) const {
  if (entry.leaving || entry.drained) {
    return EngineStatus::kLeaving;
  }
  if (now - entry.lastReport > knobs_.engineReportTimeout) {
    return EngineStatus::kDead;
  }
  if (!entry.reported || now < entry.suspectUntil) {
    return EngineStatus::kSuspect;
  }
  return entry.state.status;
}

bool EngineDirectory::serves(const EngineState& state, const ModelId& model,
                             const AdapterId& adapter) {
  if (state.model != model || state.role == EngineRole::kDecode) {
    return false;
  }
  const auto& adapters = state.adapters;
  return adapter.empty() || std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

EngineState EngineDirectory::stateOf(const Entry& entry, EngineStatus status) {
  EngineState state = entry.state;
  state.status = status;
  return state;
}

std::vector<EngineState> EngineDirectory::candidates(const ModelId& model, const AdapterId& adapter,
                                                     Time now) const {
  const RankedLock lock(mutex_);
  std::vector<EngineState> result;
  for (const auto& [id, entry] : entries_) {
    const EngineStatus status = statusOf(entry, now);
    if (status == EngineStatus::kLive && serves(entry.state, model, adapter)) {
      result.push_back(stateOf(entry, status));
    }
  }
  return result;
}

std::vector<EngineState> EngineDirectory::all(Time now) const {
  const RankedLock lock(mutex_);
  std::vector<EngineState> result;
  for (const auto& [id, entry] : entries_) {
    result.push_back(stateOf(entry, statusOf(entry, now)));
  }
  return result;
}

std::optional<EngineState> EngineDirectory::find(const EngineId& engine, Time now) const {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return stateOf(found->second, statusOf(found->second, now));
}

}  // namespace fernmoor
