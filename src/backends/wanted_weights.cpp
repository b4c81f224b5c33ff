#include "backends/wanted_weights.h"

#include <algorithm>

#include "common/log.h"

namespace fernmoor {

namespace {

constexpr size_t kVersionsKept = 64;
/// A request may wait at its engine for so long before it begins.
constexpr Duration kBeginMargin{1000000};
/// Other nodes are told of a version for so many times its bound: an outage of the store may have
/// made the bound longer.
constexpr int kBoundsTold = 3;

std::string milliseconds(Duration time) {
  return std::to_string(time.count() / 1000) + " ms";
}

void tellNamed(const std::string& model, uint64_t version, std::optional<Time> namedBy, Time now) {
  logInfo(
      "weights: version " + std::to_string(version) + " of " + model + " named, " +
      (namedBy ? "at most " + milliseconds(now - *namedBy) + " ago" : "nobody here knows when"));
}

}  // namespace

Time WantedWeights::dueAtOf(std::optional<Time> namedBy) const {
  const Time due = namedBy ? *namedBy + bounds_.inForce : bounds_.heldFrom;
  const bool isExtended =
      storeAwayAt_ && (!namedBy || (*namedBy < *storeAwayAt_ && *storeAwayAt_ < due));
  return isExtended ? std::max(due, *storeAwayAt_ + bounds_.inForce) : due;
}

std::vector<NamedVersion>::iterator WantedWeights::placeOf(const std::string& model,
                                                           uint64_t version) {
  std::vector<NamedVersion>& versions = named_[model];
  return std::find_if(versions.begin(), versions.end(),
                      [&](const NamedVersion& each) { return each.version >= version; });
}

void WantedWeights::insert(const std::string& model, uint64_t version, std::optional<Time> namedBy,
                           Time now) {
  std::vector<NamedVersion>& versions = named_[model];
  versions.insert(placeOf(model, version), NamedVersion{version, namedBy, dueAtOf(namedBy)});
  if (versions.size() > kVersionsKept) {
    versions.erase(versions.begin());
  }
  tellNamed(model, version, namedBy, now);
}

void WantedWeights::note(const std::string& model, uint64_t version, std::optional<Time> namedBy,
                         Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto place = placeOf(model, version);
  if (place == named_[model].end() || place->version != version) {
    insert(model, version, namedBy, now);
  }
}

void WantedWeights::learnSince(const std::string& model, uint64_t version, Time namedBy, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto place = placeOf(model, version);
  if (place == named_[model].end() || place->version != version) {
    insert(model, version, namedBy, now);
  } else if (!place->namedBy) {
    *place = NamedVersion{version, namedBy, dueAtOf(namedBy)};
    tellNamed(model, version, namedBy, now);
  }
}

void WantedWeights::noteStoreAway(Time at) {
  const std::lock_guard<std::mutex> lock(mutex_);
  storeAwayAt_ = storeAwayAt_ ? std::max(*storeAwayAt_, at) : at;
  for (auto& model : named_) {
    for (NamedVersion& named : model.second) {
      if (named.dueAt > at) {
        named.dueAt = std::max(named.dueAt, at + bounds_.inForce);
      }
    }
  }
}

uint64_t WantedWeights::newest(const std::string& model) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = named_.find(model);
  return found == named_.end() ? 0 : found->second.back().version;
}

std::optional<Time> WantedWeights::deadlineFor(const std::string& model, uint64_t held) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = named_.find(model);
  if (found == named_.end()) {
    return std::nullopt;
  }
  for (const NamedVersion& named : found->second) {
    if (named.version > held) {
      // Not the end of a bound that an outage has made longer: moves that are late stay urgent.
      return named.namedBy ? *named.namedBy + bounds_.inForce : bounds_.heldFrom;
    }
  }
  return std::nullopt;
}

uint64_t WantedWeights::dueVersion(const std::string& model, Time now) const {
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

uint64_t WantedWeights::lowestServing(const std::string& model, Time now) const {
  return dueVersion(model, now + kBeginMargin);
}

std::vector<YoungVersion> WantedWeights::youngVersions(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<YoungVersion> young;
  for (const auto& [model, versions] : named_) {
    for (const NamedVersion& named : versions) {
      if (named.namedBy && now - *named.namedBy < bounds_.inForce * kBoundsTold) {
        young.push_back(YoungVersion{model, named.version, now - *named.namedBy});
      }
    }
  }
  return young;
}

}  // namespace fernmoor
