#include "admission/distributed_limiter.h"

#include <algorithm>
#include <cmath>

namespace fernmoor {

namespace {

constexpr Duration kDemandHalfLife{1000000};
/// A row that wasn't used for so many lease times is forgotten.
constexpr int64_t kIdleLeaseTimes = 10;
/// A question without an answer is repeated after so many ask intervals.
constexpr int64_t kRepeatIntervals = 2;
/// Told where requests in flight have to end first; their length isn't known here.
constexpr Duration kConcurrencyRetryAfter{500000};

}  // namespace

DistributedLimiter::DistributedLimiter(const Knobs& knobs) : knobs_(knobs) {}

Result<Done> DistributedLimiter::tryAcquire(const RowLimits& limits, Time now) {
  if (limits.ratePerSecond <= 0 && limits.concurrency <= 0) {
    return Done{};
  }
  const auto added = rows_.try_emplace(limits.row);
  RowUse& use = added.first->second;
  if (added.second) {
    use.answeredAt = now;
    use.fallbackAt = now;
  }
  use.limits = limits;
  use.usedAt = now;
  use.demand.add(1.0, now, kDemandHalfLife);
  if (limits.concurrency > 0 && use.inFlight >= placeLimit(use, now)) {
    ++use.refusedPlaces;
    return concurrencyLimitError(limits, kConcurrencyRetryAfter);
  }
  if (limits.ratePerSecond > 0 && !takeToken(use, now)) {
    return rateLimitError(limits, timeUntilToken(use));
  }
  ++use.inFlight;
  return Done{};
}

void DistributedLimiter::release(const RowKey& row, Time now) {
  const auto found = rows_.find(row);
  if (found != rows_.end()) {
    found->second.inFlight = std::max<int64_t>(0, found->second.inFlight - 1);
    found->second.usedAt = now;
  }
}

bool DistributedLimiter::hasOwner(const RowUse& use, Time now) const {
  // An owner that never answered isn't waited for as long as one that did.
  const Duration patience =
      use.hadGrants ? knobs_.limitLeaseTime : knobs_.limitAskInterval * kRepeatIntervals;
  return now - use.answeredAt <= patience;
}

bool DistributedLimiter::takeToken(RowUse& use, Time now) const {
  addFallbackTokens(use, now);
  // While the row isn't known to be short, a node may run ahead of the owner's answer.
  const double floor = use.isShort ? 0.0 : -overdraft(use);
  if (use.tokens - 1.0 < floor) {
    return false;
  }
  use.tokens -= 1.0;
  return true;
}

double DistributedLimiter::overdraft(const RowUse& use) const {
  return std::max(1.0, use.limits.burst / static_cast<double>(share_.nodes));
}

void DistributedLimiter::addFallbackTokens(RowUse& use, Time now) const {
  if (hasOwner(use, now)) {
    use.fallbackAt = now;
    return;
  }
  const double share = 1.0 / static_cast<double>(share_.nodes);
  const double burst = std::max(1.0, use.limits.burst * share);
  const double added = toSeconds(now - use.fallbackAt) * use.limits.ratePerSecond * share;
  use.tokens = std::min(std::max(burst, use.tokens), use.tokens + added);
  use.fallbackAt = now;
  use.grantedRate = use.limits.ratePerSecond * share;
  use.isShort = true;
}

Duration DistributedLimiter::timeUntilToken(const RowUse& use) const {
  const double rate = use.grantedRate > 0
                          ? use.grantedRate
                          : use.limits.ratePerSecond / static_cast<double>(share_.nodes);
  return fromSeconds(std::max(0.0, 1.0 - use.tokens) / rate);
}

int64_t DistributedLimiter::placeLimit(const RowUse& use, Time now) const {
  if (use.hasPlaces && hasOwner(use, now)) {
    return use.places;
  }
  const int64_t even = use.limits.concurrency / share_.nodes;
  const int64_t remainder = use.limits.concurrency % share_.nodes;
  return even + (share_.rank < remainder ? 1 : 0);
}

void DistributedLimiter::onGrant(const LimitGrant& grant, Time now) {
  const auto found = rows_.find(grant.row);
  if (found == rows_.end() || !found->second.awaitsAnswer ||
      found->second.sequence != grant.sequence) {
    return;
  }
  RowUse& use = found->second;
  use.awaitsAnswer = false;
  use.answeredAt = now;
  use.hadGrants = true;
  use.tokens += grant.tokens;
  use.grantedRate = grant.ratePerSecond;
  use.isShort = grant.tokens + 1.0 < use.question.wantedTokens;
  if (grant.placesConfirmed) {
    use.places = grant.places;
    use.hasPlaces = true;
  }
}

std::vector<LimitDemand> DistributedLimiter::dueQuestions(Time now) {
  std::vector<LimitDemand> questions;
  for (auto& entry : rows_) {
    RowUse& use = entry.second;
    if (isQuestionDue(use, now)) {
      questions.push_back(makeQuestion(use, now));
    }
  }
  return questions;
}

double DistributedLimiter::wantedStock(const RowUse& use, Time now) const {
  const double demand = use.demand.perSecond(now, kDemandHalfLife);
  return std::max(1.0, demand * knobs_.limitHorizonSeconds);
}

bool DistributedLimiter::isQuestionDue(const RowUse& use, Time now) const {
  const Duration sinceAsked = now - use.askedAt;
  if (use.awaitsAnswer) {
    return sinceAsked >= knobs_.limitAskInterval * kRepeatIntervals;
  }
  if (now - use.usedAt > knobs_.limitLeaseTime && use.inFlight == 0) {
    return false;
  }
  const bool placesDue = use.limits.concurrency > 0 &&
                         (use.refusedPlaces > 0 || sinceAsked >= knobs_.limitReportInterval);
  const bool tokensDue = use.limits.ratePerSecond > 0 && use.tokens < wantedStock(use, now) / 2;
  const bool early = !use.hadGrants;  // The first question goes out at once.
  return (placesDue || tokensDue) && (early || sinceAsked >= knobs_.limitAskInterval);
}

LimitDemand DistributedLimiter::makeQuestion(RowUse& use, Time now) const {
  use.askedAt = now;
  if (use.awaitsAnswer && hasOwner(use, now)) {
    return use.question;
  }
  use.awaitsAnswer = true;
  LimitDemand& question = use.question;
  question.limits = use.limits;
  question.sequence = ++use.sequence;
  question.demandPerSecond = use.demand.perSecond(now, kDemandHalfLife);
  question.wantedTokens = std::max(0.0, wantedStock(use, now) - use.tokens);
  question.inFlight = use.inFlight;
  question.heldPlaces = std::max(use.inFlight, placeLimit(use, now));
  question.wantedPlaces = use.inFlight + use.refusedPlaces;
  question.hadGrants = use.hadGrants;
  use.refusedPlaces = 0;
  return question;
}

void DistributedLimiter::expire(Time now) {
  const bool isFull = rows_.size() > static_cast<size_t>(knobs_.limitRows);
  const Duration idleTime = knobs_.limitLeaseTime * (isFull ? 1 : kIdleLeaseTimes);
  for (auto entry = rows_.begin(); entry != rows_.end();) {
    const RowUse& use = entry->second;
    const bool idle = use.inFlight == 0 && now - use.usedAt > idleTime;
    entry = idle ? rows_.erase(entry) : std::next(entry);
  }
}

int64_t DistributedLimiter::inFlight(const RowKey& row) const {
  const auto found = rows_.find(row);
  return found == rows_.end() ? 0 : found->second.inFlight;
}

}  // namespace fernmoor
