#include "admission/distributed_limiter.h"

#include <algorithm>
#include <cmath>

namespace fernmoor {

namespace {

constexpr Duration kDemandHalfLife{1000000};
/// A single node sees a request of a given tenant only every few seconds, so the demand that the
/// owner divides the rate by is averaged over a similar time.
constexpr Duration kUsualDemandHalfLife{4000000};
/// Lease times without use after which a row is removed.
constexpr int64_t kIdleLeaseTimes = 10;
/// Without an answer for this long (600 ms) a node falls back to its own share. This leaves several
/// round trips after the first repetition of the question.
constexpr Duration kAnswerTimeout{600000};
/// Seconds for which a node without an owner may accumulate unused tokens of its share. Large
/// requests reach a single node rarely, so a shorter time would never cover one.
constexpr double kFallbackBurstSeconds = 1.5;
/// In limit units; keeps rounding errors of sums from rejecting a whole request.
constexpr double kTolerance = 1e-3;
/// In limit units per second; lower bound that keeps Retry-After finite when the owner grants none.
constexpr double kMinimumRatePerSecond = 0.1;
/// Expected requests within limitHorizonSeconds below which a node holds no tokens in reserve. With
/// a reserve, many nodes with a few requests each would together hold the whole burst and cause one
/// another's requests to be rejected, for little saving in messages.
constexpr double kMinimumRequestsForReserve = 8;
/// Ask intervals after which an unanswered question is repeated.
constexpr int64_t kRepeatAskIntervals = 2;
/// Retry-After (500 ms) when requests in flight have to end first; their duration is not known
/// here.
constexpr Duration kConcurrencyRetryAfter{500000};

}  // namespace

DistributedLimiter::DistributedLimiter(const Knobs& knobs) : knobs_(knobs) {}

Result<Done> DistributedLimiter::tryAcquire(const RowLimits& limits, double cost,
                                            DebtPolicy debtPolicy, Time now) {
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
  if (limits.ratePerSecond > 0 && !takeTokens(use, cost, debtPolicy, now)) {
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

bool DistributedLimiter::isLeaseValid(const RowUse& use, Time now) const {
  // An owner that has never answered is given less time than one that has.
  const Duration timeout =
      use.hadGrants ? knobs_.limitLeaseTime : knobs_.limitAskInterval * kRepeatAskIntervals;
  return now - use.answeredAt <= timeout;
}

bool DistributedLimiter::isOwnerAnswering(const RowUse& use, Time now) const {
  return !use.awaitsAnswer || now - use.unansweredSince <= kAnswerTimeout;
}

bool DistributedLimiter::maySpend(const RowUse& use, double cost, DebtPolicy debtPolicy,
                                  Time now) const {
  if (use.tokens + kTolerance >= cost) {
    return true;
  }
  if (debtPolicy == DebtPolicy::kForbidDebt) {
    return false;
  }
  if (!isOwnerAnswering(use, now)) {
    // The share alone may never add up to the cost of a large request, so any positive balance
    // admits one; the resulting debt is repaid from the share.
    return use.tokens > 0;
  }
  // Until the owner reports a shortage, the node may go into debt before the owner answers.
  return !use.isShort && use.tokens - cost >= -std::max(cost, maximumDebt(use));
}

bool DistributedLimiter::takeTokens(RowUse& use, double cost, DebtPolicy debtPolicy,
                                    Time now) const {
  addFallbackTokens(use, now);
  if (!maySpend(use, cost, debtPolicy, now)) {
    return false;
  }
  use.tokens -= cost;
  return true;
}

void DistributedLimiter::refund(const RowKey& row, double cost) {
  const auto found = rows_.find(row);
  if (found != rows_.end() && found->second.limits.ratePerSecond > 0) {
    found->second.tokens += cost;
  }
}

double DistributedLimiter::maximumDebt(const RowUse& use) const {
  return std::max(1.0, use.limits.burst / static_cast<double>(share_.nodes));
}

void DistributedLimiter::addFallbackTokens(RowUse& use, Time now) const {
  if (isOwnerAnswering(use, now)) {
    use.fallbackAt = now;
    return;
  }
  // The owner assumes that a silent node continues at its last granted rate. A node that was idle
  // has no such rate, and its callers have no other source, so it uses at least its equal share.
  const double share =
      std::max(use.grantedRate / use.limits.ratePerSecond, 1.0 / static_cast<double>(share_.nodes));
  const double minimumBurst = use.limits.ratePerSecond * kFallbackBurstSeconds;
  const double burst = std::max(1.0, std::max(use.limits.burst, minimumBurst) * share);
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
  return fromSeconds(std::max(0.0, tokens - use.tokens) / std::max(rate, kMinimumRatePerSecond));
}

int64_t DistributedLimiter::placeLimit(const RowUse& use, Time now) const {
  if (use.hasPlaces && isLeaseValid(use, now)) {
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
  // Tokens added by the fallback while the answer was outstanding count towards the grant.
  use.tokens = std::max(use.tokens, std::min(use.tokens + grant.tokens, use.requestedLevel));
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

double DistributedLimiter::targetTokens(const RowUse& use, Time now) const {
  const double requests = use.requests.perSecond(now, kDemandHalfLife);
  if (requests * knobs_.limitHorizonSeconds < kMinimumRequestsForReserve) {
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
    return sinceAsked >= knobs_.limitAskInterval * kRepeatAskIntervals;
  }
  if (isIdle(use, now)) {
    return use.question.demandPerSecond > 0;  // One last report that demand has ceased.
  }
  const bool placesDue = use.limits.concurrency > 0 &&
                         (use.refusedPlaces > 0 || sinceAsked >= knobs_.limitReportInterval);
  // A node that still has enough tokens reports anyway; the owner treats a silent node as
  // unreachable.
  const bool tokensDue = use.limits.ratePerSecond > 0 && (use.tokens < targetTokens(use, now) / 2 ||
                                                          sinceAsked >= knobs_.limitReportInterval);
  const bool early = !use.hadGrants;  // The first question is sent immediately.
  return (placesDue || tokensDue) && (early || sinceAsked >= knobs_.limitAskInterval);
}

LimitDemand DistributedLimiter::makeQuestion(RowUse& use, double needed, Time now) const {
  use.askedAt = now;
  if (use.awaitsAnswer && isOwnerAnswering(use, now)) {
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
  use.requestedLevel = std::max({targetTokens(use, now), needed, use.tokens});
  question.wantedTokens = use.requestedLevel - use.tokens;
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
