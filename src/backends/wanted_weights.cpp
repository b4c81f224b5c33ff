#include "backends/wanted_weights.h"

#include <algorithm>

#include "common/log.h"

namespace fernmoor {

namespace {

constexpr size_t kMaxVersionsPerModel = 64;
/// Longest time that a request waits at its engine before it begins.
constexpr Duration kBeginMargin{1000000};
/// A time reported by another node replaces the known one only if it is later by more than this;
/// smaller differences come from the transit time of the query.
constexpr Duration kMinTimeGain{50000};
/// A version is announced to other nodes for this many times its bound, as an outage of the store
/// may have extended the bound.
constexpr int kAnnouncedBounds = 3;

std::string milliseconds(Duration time) {
  return std::to_string(time.count() / 1000) + " ms";
}

void logNamed(const std::string& model, const NamedVersion& named, bool isFromPeer, Time now) {
  const std::string since = named.notBefore
                                ? "at most " + milliseconds(now - *named.notBefore) + " ago" +
                                      (isFromPeer ? ", as another node knows" : "")
                                : "nobody here knows when";
  logInfo("weights: version " + std::to_string(named.version) + " of " + model + " named, " +
          since + ", its bound ends in " + milliseconds(named.dueAt - now));
}

void logExtended(const std::string& model, uint64_t version, Duration by) {
  logInfo("weights: the store is away, the bound of version " + std::to_string(version) + " of " +
          model + " ends " + milliseconds(by) + " later");
}

}  // namespace

Time DesiredWeights::unextendedDueAt(std::optional<Time> notBefore) const {
  return notBefore ? *notBefore + bounds_.inForce : bounds_.heldFrom;
}

Time DesiredWeights::dueAtOf(std::optional<Time> notBefore) const {
  const Time due = unextendedDueAt(notBefore);
  const bool isExtended =
      storeUnavailableAt_ &&
      (!notBefore || (*notBefore < *storeUnavailableAt_ && *storeUnavailableAt_ < due));
  return isExtended ? std::max(due, *storeUnavailableAt_ + bounds_.inForce) : due;
}

void DesiredWeights::noteLocked(const std::string& model, const NamedVersion& named,
                                bool isFromPeer, Time now) {
  std::vector<NamedVersion>& versions = named_[model];
  const auto place = std::find_if(versions.begin(), versions.end(), [&](const NamedVersion& each) {
    return each.version >= named.version;
  });
  const bool isKnown = place != versions.end() && place->version == named.version;
  const bool isMoreAccurate =
      isKnown && isFromPeer &&
      (!place->notBefore || *named.notBefore > *place->notBefore + kMinTimeGain);
  if (isKnown && !isMoreAccurate) {
    return;
  }
  if (isKnown) {
    *place = named;
  } else {
    versions.insert(place, named);
  }
  if (versions.size() > kMaxVersionsPerModel) {
    versions.erase(versions.begin());
  }
  logNamed(model, named, isFromPeer, now);
}

void DesiredWeights::note(const std::string& model, uint64_t version, std::optional<Time> notBefore,
                          Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  noteLocked(model, NamedVersion{version, notBefore, dueAtOf(notBefore)}, false, now);
}

void DesiredWeights::learnSince(const std::string& model, uint64_t version, Time notBefore,
                                Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  noteLocked(model, NamedVersion{version, notBefore, dueAtOf(notBefore)}, true, now);
}

void DesiredWeights::noteStoreUnavailable(Time at) {
  const std::lock_guard<std::mutex> lock(mutex_);
  storeUnavailableAt_ = storeUnavailableAt_ ? std::max(*storeUnavailableAt_, at) : at;
  for (auto& model : named_) {
    for (NamedVersion& named : model.second) {
      if (named.dueAt > at && named.dueAt < at + bounds_.inForce) {
        logExtended(model.first, named.version, at + bounds_.inForce - named.dueAt);
        named.dueAt = at + bounds_.inForce;
      }
    }
  }
}

uint64_t DesiredWeights::newest(const std::string& model) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = named_.find(model);
  return found == named_.end() ? 0 : found->second.back().version;
}

std::optional<Time> DesiredWeights::deadlineFor(const std::string& model, uint64_t held) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = named_.find(model);
  if (found == named_.end()) {
    return std::nullopt;
  }
  for (const NamedVersion& named : found->second) {
    if (named.version > held) {
      // Without the extension for a store outage, so that late moves stay urgent.
      return unextendedDueAt(named.notBefore);
    }
  }
  return std::nullopt;
}

std::optional<Time> DesiredWeights::boundEnd(const std::string& model, uint64_t held) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = named_.find(model);
  std::optional<Time> end;
  if (found != named_.end()) {
    for (const NamedVersion& named : found->second) {
      if (named.version > held) {
        end = end ? std::min(*end, named.dueAt) : named.dueAt;
      }
    }
  }
  return end;
}

uint64_t DesiredWeights::dueVersion(const std::string& model, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = named_.find(model);
  uint64_t due = 0;
  if (found != named_.end()) {
    for (const NamedVersion& named : found->second) {
      due = named.dueAt <= now ? named.version : due;
    }
  }
  return due;
}

uint64_t DesiredWeights::lowestServing(const std::string& model, Time now) const {
  return dueVersion(model, now + kBeginMargin);
}

std::vector<RecentVersion> DesiredWeights::recentVersions(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<RecentVersion> young;
  for (const auto& [model, versions] : named_) {
    for (const NamedVersion& named : versions) {
      if (named.notBefore && now - *named.notBefore < bounds_.inForce * kAnnouncedBounds) {
        young.push_back(RecentVersion{model, named.version, now - *named.notBefore});
      }
    }
  }
  return young;
}

}  // namespace fernmoor
