#include "admission/distributed_limiter.h"

#include <algorithm>
#include <cmath>

namespace fernmoor {

namespace {

constexpr Duration kDemandHalfLife{1000000};
/// A node sees a request of a tenant every few seconds, so the shares are taken over as long.
constexpr Duration kUsualDemandHalfLife{4000000};
/// A row that wasn't used for so many lease times is forgotten.
constexpr int64_t kIdleLeaseTimes = 10;
/// Without an answer for so long a node goes on with its share: some round trips beyond the first
/// repetition of its question.
constexpr Duration kAnswerPatience{600000};
/// Shares of nodes without an owner gather for so long where they aren't used: large requests come
/// to a node seldom.
constexpr double kFallbackGatherSeconds = 1.5;
/// In units: rounding of sums must not cost a whole request.
constexpr double kTolerance = 1e-3;
/// In units a second, where the owner grants none: keeps the time to come back finite.
constexpr double kLeastRate = 0.1;
/// Below, what nodes hold would be more than what it saves in questions: many nodes with a few
/// requests each would hold the whole burst, and refuse one another's.
constexpr double kFewestRequestsForStock = 8;
/// A question without an answer is repeated after so many ask intervals.
constexpr int64_t kRepeatIntervals = 2;
/// Told where requests in flight have to end first; their length isn't known here.
constexpr Duration kConcurrencyRetryAfter{500000};

}  // namespace

DistributedLimiter::DistributedLimiter(const Knobs& knobs) : knobs_(knobs) {}

Result<Done> DistributedLimiter::tryAcquire(const RowLimits& limits, double cost, Spending spending,
                                            Time now) {
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
  use.demand.add(cost, now, kDemandHalfLife);
  use.requests.add(1.0, now, kDemandHalfLife);
  use.usualDemand.add(cost, now, kUsualDemandHalfLife);
  if (limits.concurrency > 0 && use.inFlight >= placeLimit(use, now)) {
    ++use.refusedPlaces;
    return concurrencyLimitError(limits, kConcurrencyRetryAfter);
  }
  if (limits.ratePerSecond > 0 && !takeTokens(use, cost, spending, now)) {
    return rateLimitError(limits, timeUntil(cost, use));
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

bool DistributedLimiter::isAnswered(const RowUse& use, Time now) const {
  return !use.awaitsAnswer || now - use.unansweredSince <= kAnswerPatience;
}

bool DistributedLimiter::maySpend(const RowUse& use, double cost, Spending spending,
                                  Time now) const {
  if (use.tokens + kTolerance >= cost) {
    return true;
  }
  if (spending == Spending::kStockOnly) {
    return false;
  }
  if (!isAnswered(use, now)) {
    // Its share alone may never gather what a large request costs; the debt is paid from it.
    return use.tokens > 0;
  }
  // While the row isn't known to be short, a node may run ahead of the owner's answer.
  return !use.isShort && use.tokens - cost >= -std::max(cost, overdraft(use));
}

bool DistributedLimiter::takeTokens(RowUse& use, double cost, Spending spending, Time now) const {
  addFallbackTokens(use, now);
  if (!maySpend(use, cost, spending, now)) {
    return false;
  }
  use.tokens -= cost;
  return true;
}

void DistributedLimiter::giveBack(const RowKey& row, double cost) {
  const auto found = rows_.find(row);
  if (found != rows_.end() && found->second.limits.ratePerSecond > 0) {
    found->second.tokens += cost;
  }
}

double DistributedLimiter::overdraft(const RowUse& use) const {
  return std::max(1.0, use.limits.burst / static_cast<double>(share_.nodes));
}

void DistributedLimiter::addFallbackTokens(RowUse& use, Time now) const {
  if (isAnswered(use, now)) {
    use.fallbackAt = now;
    return;
  }
  // The owner counts on it that a silent node goes on with its last grant; one that was idle then
  // has none, and its callers none but it.
  const double share =
      std::max(use.grantedRate / use.limits.ratePerSecond, 1.0 / static_cast<double>(share_.nodes));
  const double gathered = use.limits.ratePerSecond * kFallbackGatherSeconds;
  const double burst = std::max(1.0, std::max(use.limits.burst, gathered) * share);
  const double added = toSeconds(now - use.fallbackAt) * use.limits.ratePerSecond * share;
  use.tokens = std::min(std::max(burst, use.tokens), use.tokens + added);
  use.fallbackAt = now;
  use.grantedRate = use.limits.ratePerSecond * share;
  use.isShort = true;
}

Duration DistributedLimiter::timeUntil(double tokens, const RowUse& use) const {
  const double rate = use.grantedRate > 0
                          ? use.grantedRate
                          : use.limits.ratePerSecond / static_cast<double>(share_.nodes);
  return fromSeconds(std::max(0.0, tokens - use.tokens) / std::max(rate, kLeastRate));
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
  // Where it went on without an answer meanwhile, the grant does not come on top of that.
  use.tokens = std::max(use.tokens, std::min(use.tokens + grant.tokens, use.stockAsked));
  use.grantedRate = grant.ratePerSecond;
  use.isShort = grant.tokens + 1.0 < use.question.wantedTokens;
  if (grant.placesConfirmed) {
    use.places = grant.places;
    use.hasPlaces = true;
  }
}

std::optional<LimitDemand> DistributedLimiter::urgentQuestion(const RowKey& row, double needed,
                                                              Time now) {
  const auto found = rows_.find(row);
  if (found == rows_.end() || found->second.awaitsAnswer) {
    return std::nullopt;
  }
  return makeQuestion(found->second, needed, now);
}

bool DistributedLimiter::awaitsAnswer(const RowKey& row) const {
  const auto found = rows_.find(row);
  return found != rows_.end() && found->second.awaitsAnswer;
}

bool DistributedLimiter::isShort(const RowKey& row) const {
  const auto found = rows_.find(row);
  return found != rows_.end() && found->second.isShort;
}

size_t DistributedLimiter::shortCount() const {
  return static_cast<size_t>(std::count_if(rows_.begin(), rows_.end(),
                                           [](const auto& entry) { return entry.second.isShort; }));
}

std::vector<LimitDemand> DistributedLimiter::dueQuestions(Time now) {
  std::vector<LimitDemand> questions;
  for (auto& entry : rows_) {
    RowUse& use = entry.second;
    if (isQuestionDue(use, now)) {
      questions.push_back(makeQuestion(use, 0, now));
    }
  }
  return questions;
}

double DistributedLimiter::wantedStock(const RowUse& use, Time now) const {
  const double requests = use.requests.perSecond(now, kDemandHalfLife);
  if (requests * knobs_.limitHorizonSeconds < kFewestRequestsForStock) {
    return 1.0;
  }
  return use.demand.perSecond(now, kDemandHalfLife) * knobs_.limitHorizonSeconds;
}

bool DistributedLimiter::isIdle(const RowUse& use, Time now) const {
  return now - use.usedAt > knobs_.limitLeaseTime && use.inFlight == 0;
}

bool DistributedLimiter::isQuestionDue(const RowUse& use, Time now) const {
  const Duration sinceAsked = now - use.askedAt;
  if (use.awaitsAnswer) {
    return sinceAsked >= knobs_.limitAskInterval * kRepeatIntervals;
  }
  if (isIdle(use, now)) {
    return use.question.demandPerSecond > 0;  // Once more: nothing is wanted any longer.
  }
  const bool placesDue = use.limits.concurrency > 0 &&
                         (use.refusedPlaces > 0 || sinceAsked >= knobs_.limitReportInterval);
  // A node whose stock lasts reports all the same: one that is silent counts as cut off.
  const bool tokensDue = use.limits.ratePerSecond > 0 && (use.tokens < wantedStock(use, now) / 2 ||
                                                          sinceAsked >= knobs_.limitReportInterval);
  const bool early = !use.hadGrants;  // The first question goes out at once.
  return (placesDue || tokensDue) && (early || sinceAsked >= knobs_.limitAskInterval);
}

LimitDemand DistributedLimiter::makeQuestion(RowUse& use, double needed, Time now) const {
  use.askedAt = now;
  if (use.awaitsAnswer && isAnswered(use, now)) {
    return use.question;
  }
  if (!use.awaitsAnswer) {
    use.unansweredSince = now;
    use.fallbackAt = now;
  }
  use.awaitsAnswer = true;
  LimitDemand& question = use.question;
  question.limits = use.limits;
  question.sequence = ++use.sequence;
  const double demand = use.usualDemand.perSecond(now, kUsualDemandHalfLife);
  question.demandPerSecond = isIdle(use, now) ? 0.0 : demand;
  use.stockAsked = std::max({wantedStock(use, now), needed, use.tokens});
  question.wantedTokens = use.stockAsked - use.tokens;
  question.neededTokens = std::max(0.0, needed - use.tokens);
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
