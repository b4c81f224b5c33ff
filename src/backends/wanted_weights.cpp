#include "backends/wanted_weights.h"

#include <algorithm>

namespace fernmoor {

namespace {

constexpr size_t kVersionsKept = 64;
/// A request may wait at its engine for so long before it begins.
constexpr Duration kBeginMargin{1000000};

}  // namespace

bool WantedWeights::note(const std::string& model, uint64_t version, std::optional<Time> namedBy) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<NamedVersion>& versions = named_[model];
  if (!versions.empty() && versions.back().version >= version) {
    return false;
  }
  // Time::min() lies so far back that a sum with the bound stays in range.
  versions.push_back(NamedVersion{version, namedBy.value_or(Time::min() + std::chrono::hours(1)),
                                  namedBy.has_value()});
  if (versions.size() > kVersionsKept) {
    versions.erase(versions.begin());
  }
  return true;
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
      return named.namedBy + inForce_;
    }
  }
  return std::nullopt;
}

uint64_t WantedWeights::lowestServing(const std::string& model, Time now) const {
  return dueVersion(model, now + kBeginMargin);
}

uint64_t WantedWeights::dueVersion(const std::string& model, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = named_.find(model);
  uint64_t due = 0;
  if (found != named_.end()) {
    for (const NamedVersion& named : found->second) {
      if (named.isTimeKnown && named.namedBy + inForce_ <= now) {
        due = named.version;
      }
    }
  }
  return due;
}

uint64_t WantedWeights::uncertainVersion(const std::string& model) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = named_.find(model);
  uint64_t newest = 0;
  if (found != named_.end()) {
    for (const NamedVersion& named : found->second) {
      newest = named.isTimeKnown ? newest : named.version;
    }
  }
  return newest;
}

}  // namespace fernmoor
