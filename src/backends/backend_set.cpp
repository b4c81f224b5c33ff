#include "backends/backend_set.h"

#include <algorithm>
#include <set>

#include "common/decay.h"
#include "common/rendezvous.h"

namespace fernmoor {

namespace {

/// Half-life of the counts of a back end's failures and successes.
constexpr Duration kOutcomeHalfLife{3000000};
/// Minimum decayed number of failures for an ejection.
constexpr double kMinFailures = 2.5;
/// Minimum share of failures among recent requests for an ejection.
constexpr double kMinFailureRatio = 0.25;
constexpr Duration kFirstEjection{1500000};
constexpr int kMaxEjectionDoublings = 2;
/// A leaving back end may be used as a last resort during the first half of the drain bound, so
/// that requests sent then still arrive and end within the other half.
constexpr int kLastResortDivisor = 2;
/// Statements of unlisted incarnations are kept this long, as entries may be missing for the
/// duration of a store outage.
constexpr Duration kUnlistedRetention{600000000};
/// Other nodes are informed about a leaving back end until it has been unlisted for this long.
constexpr Duration kUnlistedAnnouncement{30000000};
/// Assumed start of leaving if it is unknown.
constexpr Time kUnknownStart{-std::chrono::hours(24)};
/// A rest is announced again only if its end moved by more than this.
constexpr Duration kMinRestExtension{100000};

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

void BackendSet::merge(Entries::iterator place, const BackendListing& listing, Time now) {
  Entry& entry = place->second;
  if (entry.listing && listing.startedAt != entry.listing->startedAt) {
    if (listing.startedAt < entry.listing->startedAt) {
      return;
    }
    byIncarnation_.erase(entry.incarnation);
    software_.remove(*entry.listing);
    entry = Entry();
  }
  const uint64_t incarnation = incarnationHash(listing);
  if (listing.isDraining) {
    Stated& stated = stated_[incarnation];
    std::optional<Time>& since = stated.withdrawal.leavingSince;
    const Time listedSince = listing.notListedAt.value_or(kUnknownStart);
    since = since ? std::min(*since, listedSince) : listedSince;
    stated.isListedAsLeaving = true;
  } else if (const auto stated = stated_.find(incarnation); stated != stated_.end()) {
    stated->second.isListedAsLeaving = false;  // As after a restore of the store from an old copy.
  }
  auto merged = std::make_shared<BackendListing>(listing);
  // The entry may be older than the back end's answers and must not undo what they stated.
  merged->isDraining = isLeaving(incarnation);
  // The list lags behind answers and moves. Versions of one incarnation only rise.
  for (HeldWeights& held : merged->weights) {
    const uint64_t known = entry.listing ? heldVersion(*entry.listing, held.model) : 0;
    held.version = std::max(held.version, known);
  }
  if (entry.listing) {
    software_.remove(*entry.listing);
  }
  entry.softwareSince = software_.add(*merged, now);
  entry.listing = std::move(merged);
  entry.incarnation = incarnation;
  entry.removedAt.reset();
  byIncarnation_[incarnation] = place;
}

BackendSet::Entries::iterator BackendSet::erase(Entries::iterator entry) {
  byIncarnation_.erase(entry->second.incarnation);
  software_.remove(*entry->second.listing);
  return entries_.erase(entry);
}

bool BackendSet::isLeaving(uint64_t incarnation) const {
  const auto found = stated_.find(incarnation);
  return found != stated_.end() && found->second.withdrawal.leavingSince;
}

bool BackendSet::mayStillServe(const Withdrawal& stated, Time now) const {
  return now < *stated.leavingSince + bounds_.drain / kLastResortDivisor;
}

void BackendSet::replaceAll(const std::vector<BackendListing>& listings, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::set<std::string> kept;
  for (const BackendListing& listing : listings) {
    merge(listing, now);
    kept.insert(listing.id);
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    entry = kept.count(entry->first) == 0 ? erase(entry) : std::next(entry);
  }
  software_.noteWhole(now);
}

void BackendSet::update(const BackendListing& listing, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  merge(listing, now);
}

void BackendSet::remove(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    erase(found);
  }
}

void BackendSet::removeAt(const std::string& id, Time when) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.removedAt = when;
    nextRemovalAt_ = std::min(nextRemovalAt_.value_or(when), when);
  }
}

std::vector<BackendView> BackendSet::membersOf(const std::string& pool, const std::string& model,
                                               Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<BackendView> members;
  members.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    if (entry.listing->pool != pool) {
      continue;
    }
    const auto found = stated_.find(entry.incarnation);
    const Withdrawal stated = found == stated_.end() ? Withdrawal() : found->second.withdrawal;
    if (stated.leavingSince && !mayStillServe(stated, now)) {
      continue;
    }
    BackendView view;
    view.listing = entry.listing;
    view.inFlight = entry.inFlight;
    view.pendingTokens = entry.pendingTokens;
    const bool isSparedForOthers =
        stated.sparedUntil != Time() && now < stated.sparedUntil + bounds_.returnDelay;
    view.isAvoided = now < entry.avoidedUntil || isSparedForOthers;
    view.isLeaving = stated.leavingSince.has_value();
    view.restsUntil = stated.restsUntil;
    view.incarnation = entry.incarnation;
    view.softwareSince = entry.softwareSince;
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

std::vector<BackendListing> BackendSet::drawUsable(size_t count,
                                                   const std::set<std::string>& leftOut,
                                                   Random& random,
                                                   const std::optional<std::string>& zone) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<const BackendListing*> drawn;  // Reservoir sampling.
  size_t seen = 0;
  for (const auto& [id, entry] : entries_) {
    const bool isElsewhere = zone && entry.listing->zone != *zone;
    if (entry.listing->isDraining || isElsewhere || leftOut.count(id) > 0) {
      continue;
    }
    ++seen;
    if (drawn.size() < count) {
      drawn.push_back(entry.listing.get());
    } else if (const uint64_t place = random.below(seen); place < count) {
      drawn[place] = entry.listing.get();
    }
  }
  std::vector<BackendListing> listings;
  listings.reserve(drawn.size());
  for (const BackendListing* each : drawn) {
    listings.push_back(*each);
  }
  return listings;
}

std::optional<BackendListing> BackendSet::find(const std::string& id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt
                                 : std::optional<BackendListing>(*found->second.listing);
}

std::shared_ptr<const BackendListing> BackendSet::findIncarnation(uint64_t incarnation) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = byIncarnation_.find(incarnation);
  return found == byIncarnation_.end() ? nullptr : found->second->second.listing;
}

std::string BackendSet::idOf(uint64_t incarnation) const {
  const std::shared_ptr<const BackendListing> listing = findIncarnation(incarnation);
  return listing == nullptr ? "" : listing->id;
}

std::optional<std::string> BackendSet::soleSoftware(const std::string& pool, Time since) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return software_.sole(pool, since);
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

void BackendSet::recordOutcome(Entry& entry, BackendVerdict verdict, Time now) {
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
  if (entry.failures >= kMinFailures && share >= kMinFailureRatio) {
    const int doublings = std::min(entry.ejections, kMaxEjectionDoublings);
    entry.avoidedUntil = std::max(entry.avoidedUntil, now + kFirstEjection * (1 << doublings));
    ++entry.ejections;
    entry.failures = kMinFailures / 2;
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
  recordOutcome(found->second, verdict, now);
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
  // An entry without a start time may belong to this incarnation; one with an earlier start time
  // belongs to a former one, whose drain mark does not apply.
  listing.isDraining = listing.isDraining && listing.startedAt == 0;
  listing.startedAt = startedAt;
  listing.software.reset();
  for (HeldWeights& held : listing.weights) {
    held.version = 0;  // Was held by the former incarnation.
  }
  const auto former = stated_.find(found->second.incarnation);
  const bool wasListed = former != stated_.end() && former->second.isListedAsLeaving;
  merge(found, listing, Time());  // Its software is unknown, so it does not matter since when.
  if (listing.isDraining) {
    stated_[found->second.incarnation].isListedAsLeaving = wasListed;
  }
}

void BackendSet::avoidUntil(const std::string& id, Time until) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.avoidedUntil = std::max(found->second.avoidedUntil, until);
  }
}

void BackendSet::listAsDraining(uint64_t incarnation) {
  const auto found = byIncarnation_.find(incarnation);
  if (found == byIncarnation_.end() || found->second->second.listing->isDraining) {
    return;
  }
  Entry& entry = found->second->second;
  auto changed = std::make_shared<BackendListing>(*entry.listing);
  changed->isDraining = true;
  entry.listing = std::move(changed);
}

bool BackendSet::noteLeaving(uint64_t incarnation, Time since) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::optional<Time>& known = stated_[incarnation].withdrawal.leavingSince;
  const bool isNew = !known;
  known = known ? std::min(*known, since) : since;
  if (isNew) {
    listAsDraining(incarnation);
  }
  return isNew;
}

bool BackendSet::noteRest(uint64_t incarnation, Time until, RestOf whom) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Withdrawal& known = stated_[incarnation].withdrawal;
  const bool isNew = until > known.sparedUntil + kMinRestExtension;
  known.sparedUntil = std::max(known.sparedUntil, until);
  if (whom == RestOf::kThisNode) {
    known.restsUntil = std::max(known.restsUntil, until);
  }
  return isNew;
}

std::optional<Withdrawal> BackendSet::withdrawal(uint64_t incarnation, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = stated_.find(incarnation);
  if (found == stated_.end()) {
    return std::nullopt;
  }
  const Withdrawal& known = found->second.withdrawal;
  const bool holds = known.leavingSince || known.sparedUntil > now;
  return holds ? std::optional(known) : std::nullopt;
}

std::vector<uint64_t> BackendSet::withdrawn(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<uint64_t> found;
  for (const auto& [incarnation, stated] : stated_) {
    const bool isGone = stated.listedAt != Time() && now - stated.listedAt > kUnlistedAnnouncement;
    const bool leaves = stated.withdrawal.leavingSince && !stated.isListedAsLeaving && !isGone;
    if (leaves || stated.withdrawal.sparedUntil > now) {
      found.push_back(incarnation);
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

WithdrawnCounts BackendSet::withdrawnCounts(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  WithdrawnCounts counts;
  for (const auto& [id, entry] : entries_) {
    const auto found = stated_.find(entry.incarnation);
    if (found != stated_.end()) {
      counts.leaving += found->second.withdrawal.leavingSince ? 1 : 0;
      counts.resting += found->second.withdrawal.restsUntil > now ? 1 : 0;
    }
  }
  return counts;
}

bool BackendSet::takesRequests(const BackendListing& listing, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const uint64_t incarnation = incarnationHash(listing);
  const auto entry = entries_.find(listing.id);
  if (entry == entries_.end() || entry->second.incarnation != incarnation) {
    return false;
  }
  const auto found = stated_.find(incarnation);
  if (found == stated_.end()) {
    return true;
  }
  const Withdrawal& known = found->second.withdrawal;
  return known.restsUntil <= now && (!known.leavingSince || mayStillServe(known, now));
}

size_t BackendSet::removeDue(Time now) {
  if (!nextRemovalAt_ || now < *nextRemovalAt_) {
    return 0;
  }
  const size_t examined = entries_.size();
  nextRemovalAt_.reset();
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const std::optional<Time> removedAt = entry->second.removedAt;
    if (removedAt && now >= *removedAt) {
      entry = erase(entry);
      continue;
    }
    if (removedAt) {
      nextRemovalAt_ = std::min(nextRemovalAt_.value_or(*removedAt), *removedAt);
    }
    ++entry;
  }
  return examined;
}

size_t BackendSet::forgetOld(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  size_t examined = removeDue(now);
  software_.age(now);
  for (auto each = stated_.begin(); each != stated_.end();) {
    ++examined;
    Stated& stated = each->second;
    const bool isListed = byIncarnation_.count(each->first) > 0;
    if (isListed || stated.listedAt == Time()) {
      stated.listedAt = now;  // A statement may arrive before the entry.
    }
    const bool isOver = !stated.withdrawal.leavingSince &&
                        stated.withdrawal.sparedUntil + bounds_.returnDelay < now;
    const bool isLongGone = now - stated.listedAt > kUnlistedRetention;
    each = isOver || isLongGone ? stated_.erase(each) : std::next(each);
  }
  return examined;
}

}  // namespace fernmoor
