#include "backends/backend_set.h"

#include <algorithm>
#include <set>

#include "common/decay.h"
#include "common/rendezvous.h"

namespace fernmoor {

namespace {

/// Memory of a back end's failures and successes.
constexpr Duration kOutcomeHalfLife{3000000};
/// Failures that count before a back end is left alone.
constexpr double kFewestFailures = 2.5;
/// Share of recent requests that must have failed.
constexpr double kFailureShare = 0.25;
constexpr Duration kFirstEjection{1500000};
constexpr int kLongestEjectionDoublings = 2;

}  // namespace

uint64_t incarnationHash(const BackendListing& listing) {
  const uint64_t ofId = stableHash(listing.id);
  return listing.startedAt == 0 ? ofId
                                : rendezvousWeight(ofId, static_cast<uint64_t>(listing.startedAt));
}

uint64_t heldVersion(const BackendListing& listing, const std::string& model) {
  for (const HeldWeights& held : listing.weights) {
    if (held.model == model) {
      return held.version;
    }
  }
  return 0;
}

void BackendSet::merge(Entry& entry, const BackendListing& listing) {
  if (entry.listing && listing.startedAt != entry.listing->startedAt) {
    if (listing.startedAt < entry.listing->startedAt) {
      return;
    }
    entry = Entry();
  }
  auto merged = std::make_shared<BackendListing>(listing);
  // The list lags behind what answers and moves have told: versions of one incarnation only rise.
  for (HeldWeights& held : merged->weights) {
    const uint64_t known = entry.listing ? heldVersion(*entry.listing, held.model) : 0;
    held.version = std::max(held.version, known);
  }
  entry.listing = std::move(merged);
  entry.incarnation = incarnationHash(listing);
}

void BackendSet::replaceAll(const std::vector<BackendListing>& listings, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::set<std::string> kept;
  for (const BackendListing& listing : listings) {
    merge(entries_[listing.id], listing);
    kept.insert(listing.id);
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    entry = kept.count(entry->first) == 0 ? entries_.erase(entry) : std::next(entry);
  }
}

void BackendSet::update(const BackendListing& listing, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  merge(entries_[listing.id], listing);
}

void BackendSet::remove(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  entries_.erase(id);
}

std::vector<BackendView> BackendSet::membersOf(const std::string& pool, const std::string& model,
                                               Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<BackendView> members;
  members.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    if (entry.listing->pool != pool || entry.listing->isDraining) {
      continue;
    }
    BackendView view;
    view.listing = entry.listing;
    view.inFlight = entry.inFlight;
    view.pendingTokens = entry.pendingTokens;
    view.isAvoided = now < entry.avoidedUntil;
    view.incarnation = entry.incarnation;
    view.weightsVersion = heldVersion(*entry.listing, model);
    members.push_back(std::move(view));
  }
  return members;
}

std::vector<BackendListing> BackendSet::all() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<BackendListing> listings;
  listings.reserve(entries_.size());
  for (const auto& entry : entries_) {
    listings.push_back(*entry.second.listing);
  }
  return listings;
}

std::optional<BackendListing> BackendSet::find(const std::string& id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt
                                 : std::optional<BackendListing>(*found->second.listing);
}

std::string BackendSet::idOf(uint64_t incarnation) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = std::find_if(entries_.begin(), entries_.end(), [&](const auto& entry) {
    return entry.second.incarnation == incarnation;
  });
  return found == entries_.end() ? "" : found->first;
}

size_t BackendSet::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return entries_.size();
}

bool BackendSet::isUsable(const std::string& id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  return found != entries_.end() && !found->second.listing->isDraining;
}

void BackendSet::started(const std::string& id, uint64_t promptTokens) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    ++found->second.inFlight;
    found->second.pendingTokens += promptTokens;
  }
}

void BackendSet::promptRead(const std::string& id, uint64_t promptTokens) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.pendingTokens -= std::min(found->second.pendingTokens, promptTokens);
  }
}

void BackendSet::judge(Entry& entry, BackendVerdict verdict, Time now) {
  if (verdict == BackendVerdict::kNeutral) {
    return;
  }
  const double decay = decayOver(now - entry.countedAt, kOutcomeHalfLife);
  entry.failures *= decay;
  entry.served *= decay;
  entry.countedAt = now;
  if (verdict == BackendVerdict::kServed) {
    entry.served += 1;
    return;
  }
  entry.failures += 1;
  const double share = entry.failures / (entry.failures + entry.served);
  if (entry.failures >= kFewestFailures && share >= kFailureShare) {
    const int doublings = std::min(entry.ejections, kLongestEjectionDoublings);
    entry.avoidedUntil = std::max(entry.avoidedUntil, now + kFirstEjection * (1 << doublings));
    ++entry.ejections;
    entry.failures = kFewestFailures / 2;
    entry.served = 0;
  }
}

void BackendSet::ended(const std::string& id, BackendVerdict verdict, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  found->second.inFlight = std::max(0, found->second.inFlight - 1);
  judge(found->second, verdict, now);
}

template <class Rule>
void BackendSet::setWeights(const std::string& id, const std::string& model, Rule rule) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  const uint64_t listed = heldVersion(*found->second.listing, model);
  const uint64_t version = rule(listed);
  if (version == listed) {
    return;
  }
  auto changed = std::make_shared<BackendListing>(*found->second.listing);
  const auto held = std::find_if(changed->weights.begin(), changed->weights.end(),
                                 [&](const HeldWeights& each) { return each.model == model; });
  if (held != changed->weights.end()) {
    held->version = version;
  } else {
    changed->weights.push_back(HeldWeights{model, version});
  }
  found->second.listing = std::move(changed);
}

void BackendSet::noteWeights(const std::string& id, const std::string& model, uint64_t version) {
  const std::lock_guard<std::mutex> lock(mutex_);
  setWeights(id, model, [&](uint64_t listed) { return std::max(listed, version); });
}

void BackendSet::correctWeights(const std::string& id, const std::string& model, uint64_t version) {
  const std::lock_guard<std::mutex> lock(mutex_);
  setWeights(id, model, [&](uint64_t listed) { return listed == 0 ? 0 : version; });
}

void BackendSet::noteStart(const std::string& id, int64_t startedAt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found == entries_.end() || startedAt <= found->second.listing->startedAt) {
    return;
  }
  BackendListing listing = *found->second.listing;
  listing.startedAt = startedAt;
  for (HeldWeights& held : listing.weights) {
    held.version = 0;  // Of the former incarnation.
  }
  merge(found->second, listing);
}

void BackendSet::avoidUntil(const std::string& id, Time until) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.avoidedUntil = std::max(found->second.avoidedUntil, until);
  }
}

}  // namespace fernmoor
