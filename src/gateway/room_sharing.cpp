#include "gateway/room_sharing.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "admission/fair_shares.h"
#include "common/decay.h"

namespace fernmoor::gateway {

namespace {

constexpr Duration kUseHalfLife{2000000};
/// Refused callers retry within about this time, or give up (1 s).
constexpr Duration kRefusedHalfLife{1000000};
/// Below this number of refusals, the refused demand counts as gone: a single one after one
/// half-life.
constexpr double kMinRefusals = 0.5;
/// It also counts as gone if nothing was refused for this multiple of the usual time between two
/// refusals (by chance: in 2 % of the cases), within these bounds. Otherwise room would be kept for
/// many half-lives for a large tenant that has stopped.
constexpr double kQuietMultiple = 4;
constexpr Duration kMinQuiet{100000};
constexpr Duration kMaxQuiet{1000000};
/// The reserve exceeds the mean use by this multiple of the mean rise above it. For Poisson
/// arrivals, the mean rise is 0.4 standard deviations.
constexpr double kRiseMargin = 4;
/// The reserve is at most this multiple of the recent peak: after a step in the use, the mean rise
/// is large although the use is steady. Without room above the peak, 7 to 10 % of the urgent
/// requests of the load in the test were refused, with it at most 2.3 %.
constexpr double kPeakMargin = 1.25;
/// An urgency with demand keeps at least this part of the capacity (1/8).
constexpr double kFloorDivisor = 8;
/// A single large claim of a less urgent kind holds back at most this part of the capacity.
constexpr double kMaxHeldPart = 0.5;
/// A reserve smaller than this part of a claim is dropped, a larger one is rounded up to whole
/// claims: room for a part of a request is of no use.
constexpr double kMinPartOfClaim = 1.0 / 16;
/// A tenant that asked for room at the engine within this time (1 s) is expected to ask again.
/// Where room is short, tenants above their share leave free what one of its requests takes:
/// otherwise each of its requests would be refused at least once.
constexpr Duration kActiveTime{1000000};
/// Longest assumed time for which a request occupies a resource (3 s).
constexpr double kMaxOccupiedSeconds = 3;
/// Tolerance for rounding in sums of amounts that are whole numbers.
constexpr double kRounding = 1e-6;

struct ResourceRule {
  double RoomAmounts::*amount;
  RoomRefusal whenFull;
};

constexpr std::array<ResourceRule, 3> kResources{{
    {&RoomAmounts::places, RoomRefusal::kPlaces},
    {&RoomAmounts::memoryTokens, RoomRefusal::kMemory},
    {&RoomAmounts::readingTokens, RoomRefusal::kReading},
}};
constexpr size_t kMemoryIndex = 1;
constexpr size_t kReadingIndex = 2;

/// In the order of RoomRefusal.
constexpr std::array<std::string_view, 5> kRefusalNames{"places", "memory", "reading", "share",
                                                        "urgency"};

/// @return the mean time for which an amount counts that fades with this half-life.
double meanSeconds(Duration halfLife) {
  return toSeconds(halfLife) / std::log(2.0);
}

std::optional<size_t> indexOf(const std::optional<int>& urgency) {
  if (!urgency || *urgency < 0 || static_cast<size_t>(*urgency) >= RoomSharing::kUrgencies) {
    return std::nullopt;
  }
  return static_cast<size_t>(*urgency);
}

/// @return whether the claim fits. While nothing is being read, a prompt of any length does.
bool fits(double amount, double used, double capacity, size_t resource) {
  return used + amount <= capacity + kRounding || (resource == kReadingIndex && used <= 0);
}

bool hasUse(const RoomAmounts& use) {
  return use.places > 0 || use.memoryTokens > 0 || use.readingTokens > 0;
}

}  // namespace

std::string_view nameOf(RoomRefusal reason) {
  return kRefusalNames[static_cast<size_t>(reason)];
}

double RoomSharing::Refused::countAt(Time now) const {
  return count > 0 ? count * decayOver(now - at, kRefusedHalfLife) : 0;
}

bool RoomSharing::Refused::isWaiting(Time now) const {
  return now < until && countAt(now) >= kMinRefusals;
}

double RoomSharing::Refused::demandOf(double RoomAmounts::*resource, Time now) const {
  return isWaiting(now) ? std::max(last.*resource, expected.*resource * countAt(now) / count) : 0;
}

void RoomSharing::Refused::add(const RoomClaim& claim, const RoomAmounts& expectedUse, Time now) {
  const bool wasWaiting = isWaiting(now);
  const double left = decayOver(now - at, kRefusedHalfLife);
  count = count * left + 1;
  for (const ResourceRule& rule : kResources) {
    expected.*rule.amount = expected.*rule.amount * left + expectedUse.*rule.amount;
  }
  last = claim.amounts;
  urgency = wasWaiting ? std::min(urgency, *claim.urgency) : *claim.urgency;
  at = now;
  const Duration usual = fromSeconds(meanSeconds(kRefusedHalfLife) / count * kQuietMultiple);
  until = now + std::clamp(usual, kMinQuiet, kMaxQuiet);
}

void RoomSharing::Refused::removeOne(Time now) {
  const double counted = countAt(now);
  if (counted <= 0) {
    return;
  }
  const double left = std::max(0.0, counted - 1) / count;
  count *= left;
  for (const ResourceRule& rule : kResources) {
    expected.*rule.amount *= left;
  }
  at = now;
}

RoomSharing::Level RoomSharing::Level::fadedBy(double left) const {
  Level faded = *this;
  faded.mean = mean * left + use * (1 - left);
  faded.rise = rise * left + std::max(0.0, use - faded.mean) * (1 - left);
  faded.peak = std::max(use, peak * left);
  faded.started = started * left;
  return faded;
}

void RoomSharing::Tenant::noteClaim(const RoomClaim& claim) {
  lastClaim = claim.amounts;
  lastUrgency = *claim.urgency;
}

double RoomSharing::leftAt(Time now) const {
  return now > at_ ? decayOver(now - at_, kUseHalfLife) : 1;
}

void RoomSharing::fadeTo(Time now) {
  const double left = leftAt(now);
  for (Urgency& urgency : urgencies_) {
    for (Level& level : urgency.levels) {
      level = level.fadedBy(left);
    }
  }
  at_ = std::max(at_, now);
}

double RoomSharing::floorPart(Time now) const {
  const auto wanted =
      std::count_if(urgencies_.begin(), urgencies_.end(), [&](const Urgency& urgency) {
        return urgency.levels[0].use > 0 || urgency.refused.isWaiting(now);
      });
  return 1 / std::max(kFloorDivisor, static_cast<double>(wanted));
}

bool RoomSharing::isWithinFloor(size_t urgency, size_t resource, double amount,
                                const View& view) const {
  const double floor = view.engine.capacity.*kResources[resource].amount * view.floorPart;
  const Level level = urgencies_[urgency].levels[resource].fadedBy(view.left);
  // A claim larger than the floor is admitted alone, so often that the mean use keeps the floor.
  return level.use + amount <= floor + kRounding || (level.use <= 0 && level.mean < floor);
}

double RoomSharing::reserveOf(size_t urgency, size_t resource, double limit,
                              const View& view) const {
  const Urgency& kind = urgencies_[urgency];
  const auto amount = kResources[resource].amount;
  const Level level = kind.levels[resource].fadedBy(view.left);
  const double expected = std::min(level.peak * kPeakMargin, level.mean + kRiseMargin * level.rise);
  const double wanted = std::max(expected, level.use + kind.refused.demandOf(amount, view.now));
  const double missing = std::min(limit, wanted) - level.use;
  const double claim = kind.lastClaim.*amount;
  if (missing <= claim * kMinPartOfClaim) {
    return 0;
  }
  return claim > 0 ? std::ceil(missing / claim - kMinPartOfClaim) * claim : missing;
}

double RoomSharing::heldFloorOf(size_t urgency, size_t resource, const View& view) const {
  const Urgency& kind = urgencies_[urgency];
  const auto amount = kResources[resource].amount;
  const double claim = kind.refused.last.*amount;
  if (!kind.refused.isWaiting(view.now) || !isWithinFloor(urgency, resource, claim, view)) {
    return 0;
  }
  const double capacity = view.engine.capacity.*amount;
  const double use = kind.levels[resource].use;
  const double demand = use + kind.refused.demandOf(amount, view.now);
  const double kept = std::max(std::min(capacity * view.floorPart, demand),
                               std::min(claim, capacity * kMaxHeldPart));
  return std::max(0.0, kept - use);
}

bool RoomSharing::leavesReserves(size_t resource, const View& view) const {
  const auto own = static_cast<size_t>(*view.claim.urgency);
  const auto member = kResources[resource].amount;
  const double capacity = view.engine.capacity.*member;
  const double used = view.engine.used.*member;
  double amount = view.claim.amounts.*member;
  if (isWithinFloor(own, resource, amount, view)) {
    return true;
  }
  double held = 0;
  for (size_t urgency = own + 1; urgency < kUrgencies; ++urgency) {
    held += heldFloorOf(urgency, resource, view);
  }
  const double limit = std::max(0.0, capacity - held);
  for (size_t urgency = 0; urgency < own; ++urgency) {
    held += reserveOf(urgency, resource, limit, view);
  }
  if (resource == kReadingIndex && used <= 0) {
    // A prompt longer than the capacity would otherwise never leave room for others.
    amount = std::min(amount, capacity * kMaxHeldPart);
  }
  return held <= 0 || used + amount + held <= capacity + kRounding;
}

bool RoomSharing::isAboveShare(size_t resource, const View& view) const {
  const auto amount = kResources[resource].amount;
  const double claimed = view.claim.amounts.*amount;
  std::vector<double> demands{claimed};
  std::vector<const Tenant*> waiting{nullptr};
  double total = claimed;
  double use = 0;
  double ownUse = 0;
  double oneOfOthers = 0;
  for (const auto& [key, tenant] : tenants_) {
    const bool isOwn = key == view.claim.tenant;
    // Demand of less urgent kinds does not refuse a more urgent request.
    const bool counts = isOwn || tenant.refused.urgency <= *view.claim.urgency;
    const double refused = counts ? tenant.refused.demandOf(amount, view.now) : 0;
    const double demand = tenant.use.*amount + refused;
    use += tenant.use.*amount;
    total += demand;
    if (isOwn) {
      ownUse = tenant.use.*amount;
      demands[0] += demand;
    } else if (demand > 0) {
      demands.push_back(demand);
      waiting.push_back(refused > 0 ? &tenant : nullptr);
    }
    const bool isAsUrgent = tenant.lastUrgency <= *view.claim.urgency;
    if (!isOwn && isAsUrgent && view.now - tenant.usedAt < kActiveTime) {
      oneOfOthers = std::max(oneOfOthers, tenant.lastClaim.*amount);
    }
  }
  // Requests without a tenant occupy the rest of what is used.
  const double free = view.engine.capacity.*amount - view.engine.used.*amount;
  const double capacity = std::max(0.0, free + use);
  if (ownUse <= 0 || total + oneOfOthers <= capacity + kRounding) {
    return false;
  }
  const std::vector<double> shares = maxMinShares(demands, capacity);
  if (ownUse + claimed <= shares[0] + kRounding) {
    return false;
  }
  // Only whole requests are owed, so that shares which are no whole number of them leave nothing
  // unused. Each waiting tenant is owed a first one.
  double owed = 0;
  for (size_t index = 1; index < shares.size(); ++index) {
    if (waiting[index] != nullptr) {
      const double one = waiting[index]->refused.last.*amount;
      const double missing = shares[index] - waiting[index]->use.*amount;
      const double whole = one > 0 ? std::floor(missing / one + kRounding) : 0;
      owed += one * std::max(waiting[index]->use.*amount > 0 ? 0.0 : 1.0, whole);
    }
  }
  owed = std::max(owed, oneOfOthers);
  return owed > 0 && claimed + owed > free + kRounding;
}

std::optional<RoomRefusal> RoomSharing::refusalOf(const RoomClaim& claim, const EngineState& engine,
                                                  Time now) const {
  if (!indexOf(claim.urgency)) {
    return std::nullopt;
  }
  const auto isConcerned = [&](size_t resource) {
    const auto amount = kResources[resource].amount;
    return engine.capacity.*amount > 0 && claim.amounts.*amount > 0;
  };
  const auto lacks = [&](size_t resource) {
    const auto amount = kResources[resource].amount;
    return isConcerned(resource) &&
           !fits(claim.amounts.*amount, engine.used.*amount, engine.capacity.*amount, resource);
  };
  const View view{claim, engine, now, leftAt(now), floorPart(now)};
  const bool maySharesBind = claim.tenant != 0 && now < tenantsWaitUntil_;
  if (lacks(kMemoryIndex)) {
    return maySharesBind && isAboveShare(kMemoryIndex, view) ? RoomRefusal::kShare
                                                             : RoomRefusal::kMemory;
  }
  for (size_t resource = 0; resource < kResources.size(); ++resource) {
    if (isConcerned(resource) && !leavesReserves(resource, view)) {
      return RoomRefusal::kUrgency;
    }
  }
  for (size_t resource = 0; maySharesBind && resource < kResources.size(); ++resource) {
    if (isConcerned(resource) && isAboveShare(resource, view)) {
      return RoomRefusal::kShare;
    }
  }
  // Last, as a caller may take these for a wait, and the others must be known then, too.
  for (size_t resource = 0; resource < kResources.size(); ++resource) {
    if (lacks(resource)) {
      return kResources[resource].whenFull;
    }
  }
  return std::nullopt;
}

void RoomSharing::noteRefusal(const RoomClaim& claim, RoomRefusal reason, Time now) {
  const auto index = indexOf(claim.urgency);
  if (!index) {
    return;
  }
  fadeTo(now);
  Urgency& urgency = urgencies_[*index];
  RoomAmounts expected = claim.amounts;
  for (size_t resource = 0; resource < kResources.size(); ++resource) {
    const Level& level = urgency.levels[resource];
    if (level.started > 0) {
      // Little's law: the time for which a started amount occupies the resource.
      const double seconds =
          std::min(kMaxOccupiedSeconds, level.mean * meanSeconds(kUseHalfLife) / level.started);
      expected.*kResources[resource].amount *= seconds / meanSeconds(kRefusedHalfLife);
    }
  }
  // What is refused for its tenant's share must not enlarge the reserve of its urgency, and what is
  // refused for its urgency is no claim of its tenant on room that is reserved.
  if (reason != RoomRefusal::kShare) {
    urgency.refused.add(claim, expected, now);
    urgency.lastClaim = claim.amounts;
  }
  if (reason != RoomRefusal::kUrgency && claim.tenant != 0) {
    Tenant& tenant = tenantOf(claim.tenant, now);
    tenant.refused.add(claim, expected, now);
    tenant.noteClaim(claim);
    tenantsWaitUntil_ = std::max(tenantsWaitUntil_, tenant.refused.until);
  }
}

void RoomSharing::addUse(const RoomClaim& claim, const RoomAmounts& amounts, double sign) {
  const auto tenant = tenants_.find(claim.tenant);
  for (size_t resource = 0; resource < kResources.size(); ++resource) {
    const auto amount = kResources[resource].amount;
    const auto add = [&](double& use) { use = std::max(0.0, use + sign * amounts.*amount); };
    add(urgencies_[static_cast<size_t>(*claim.urgency)].levels[resource].use);
    if (tenant != tenants_.end()) {
      add(tenant->second.use.*amount);
    }
  }
}

void RoomSharing::noteStart(const RoomClaim& claim, Time now) {
  const auto index = indexOf(claim.urgency);
  if (!index) {
    return;
  }
  fadeTo(now);
  if (claim.tenant != 0) {
    tenantOf(claim.tenant, now).noteClaim(claim);
  }
  addUse(claim, claim.amounts, 1);
  Urgency& urgency = urgencies_[*index];
  urgency.lastClaim = claim.amounts;
  for (size_t resource = 0; resource < kResources.size(); ++resource) {
    urgency.levels[resource].started += claim.amounts.*kResources[resource].amount;
  }
}

void RoomSharing::notePromptRead(const RoomClaim& claim, Time now) {
  const auto index = indexOf(claim.urgency);
  if (!index) {
    return;
  }
  fadeTo(now);
  addUse(claim, RoomAmounts{0, 0, claim.amounts.readingTokens}, -1);
  urgencies_[*index].refused.removeOne(now);
  if (const auto tenant = tenants_.find(claim.tenant); tenant != tenants_.end()) {
    tenant->second.refused.removeOne(now);
  }
}

void RoomSharing::noteGivenBack(const RoomClaim& claim, RoomRefusal reason, Time now) {
  const auto index = indexOf(claim.urgency);
  if (!index) {
    return;
  }
  for (size_t resource = 0; resource < kResources.size(); ++resource) {
    double& started = urgencies_[*index].levels[resource].started;
    started = std::max(0.0, started - claim.amounts.*kResources[resource].amount);
  }
  noteRefusal(claim, reason, now);
}

void RoomSharing::noteEnd(const RoomClaim& claim, bool isRead, Time now) {
  if (indexOf(claim.urgency)) {
    fadeTo(now);
    RoomAmounts amounts = claim.amounts;
    amounts.readingTokens = isRead ? 0 : amounts.readingTokens;
    addUse(claim, amounts, -1);
  }
}

RoomSharing::Tenant& RoomSharing::tenantOf(uint64_t id, Time now) {
  if (tenants_.size() >= kMaxTenants && tenants_.count(id) == 0) {
    // Tenants without requests here go first, so that running requests stay attributed.
    const auto leastRecent =
        std::min_element(tenants_.begin(), tenants_.end(), [](const auto& a, const auto& b) {
          return std::make_pair(hasUse(a.second.use), a.second.usedAt) <
                 std::make_pair(hasUse(b.second.use), b.second.usedAt);
        });
    tenants_.erase(leastRecent);
  }
  Tenant& tenant = tenants_[id];
  tenant.usedAt = now;
  return tenant;
}

}  // namespace fernmoor::gateway
