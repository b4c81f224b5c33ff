#include "gateway/stated_limits.h"

#include <algorithm>
#include <limits>

namespace fernmoor::gateway {

namespace {

/// Minimum rate in requests per second: one trial every 4 s at a back end with a lower limit.
constexpr double kMinRatePerSecond = 0.25;
/// The end of a limit is remembered for this long, so that an answer that arrives out of order does
/// not reinstate the limit.
constexpr Duration kEndedRetention{10000000};
/// Limits of unlisted back ends are kept for this long, as back ends may be missing from the list
/// for a while, for instance after an outage of the store.
constexpr Duration kUnlistedRetention{30000000};
/// Fraction of its share of the limit that a node uses without permits. A permit may have been
/// granted although the answer to the node was lost.
constexpr double kUnpermittedFraction = 0.5;

double rateOrUnlimited(const LimitStatement& statement) {
  return statement.ratePerSecond.value_or(std::numeric_limits<double>::infinity());
}

LimitChange changeOf(const LimitStatement& from, const LimitStatement& to) {
  if (from.ratePerSecond == to.ratePerSecond) {
    return LimitChange::kNone;
  }
  if (!to.ratePerSecond) {
    return LimitChange::kEnded;
  }
  return from.ratePerSecond ? LimitChange::kChanged : LimitChange::kNamed;
}

}  // namespace

bool supersedes(const LimitStatement& next, const LimitStatement& known) {
  if (next.sentAt >= known.cameAt) {
    return true;
  }
  if (next.cameAt <= known.sentAt) {
    return false;
  }
  const double nextRate = rateOrUnlimited(next);
  const double knownRate = rateOrUnlimited(known);
  return nextRate < knownRate || (nextRate == knownRate && next.cameAt > known.cameAt);
}

double permittedRate(double statedRate) {
  return std::max(statedRate, kMinRatePerSecond);
}

LimitChange StatedLimits::note(uint64_t engine, const LimitStatement& statement) {
  if (isEmpty_ && !statement.ratePerSecond) {
    return LimitChange::kNone;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto known = entries_.find(engine);
  if (known == entries_.end()) {
    if (!statement.ratePerSecond) {
      return LimitChange::kNone;
    }
    entries_[engine].statement = statement;
    isEmpty_ = false;
    return LimitChange::kNamed;
  }
  Entry& entry = known->second;
  if (!supersedes(statement, entry.statement)) {
    return LimitChange::kNone;
  }
  const LimitChange change = changeOf(entry.statement, statement);
  entry.statement = statement;
  if (change != LimitChange::kNone) {
    entry.permitAt = Time();
    entry.unpermitted.reset();
  }
  return change;
}

std::optional<LimitStatement> StatedLimits::find(uint64_t engine) const {
  if (isEmpty_) {
    return std::nullopt;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto known = entries_.find(engine);
  return known == entries_.end() ? std::nullopt : std::optional(known->second.statement);
}

std::optional<double> StatedLimits::rateOf(uint64_t engine) const {
  const std::optional<LimitStatement> statement = find(engine);
  return statement ? statement->ratePerSecond : std::nullopt;
}

void StatedLimits::noteWait(uint64_t engine, Time until) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto known = entries_.find(engine);
  if (known != entries_.end()) {
    known->second.permitAt = until;
  }
}

std::optional<Duration> StatedLimits::permitDue(uint64_t engine, Time now) const {
  if (isEmpty_) {
    return std::nullopt;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto known = entries_.find(engine);
  if (known == entries_.end() || !known->second.statement.ratePerSecond) {
    return std::nullopt;
  }
  return std::max(Duration(0), known->second.permitAt - now);
}

bool StatedLimits::takeUnasked(uint64_t engine, size_t nodes, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto known = entries_.find(engine);
  if (known == entries_.end() || !known->second.statement.ratePerSecond) {
    return true;
  }
  Entry& entry = known->second;
  const double rate = permittedRate(*entry.statement.ratePerSecond) * kUnpermittedFraction /
                      static_cast<double>(std::max<size_t>(1, nodes));
  if (!entry.unpermitted) {
    entry.unpermitted.emplace(rate, 1.0, now);
    entry.unpermitted->charge(1.0, now);
  }
  entry.unpermitted->configure(rate, 1.0, now);
  return entry.unpermitted->tryTake(now);
}

std::vector<uint64_t> StatedLimits::engines() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<uint64_t> engines;
  engines.reserve(entries_.size());
  for (const auto& entry : entries_) {
    engines.push_back(entry.first);
  }
  return engines;
}

size_t StatedLimits::count() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& entry) {
    return entry.second.statement.ratePerSecond.has_value();
  }));
}

void StatedLimits::forgetOld(const std::function<bool(uint64_t)>& isListed, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const LimitStatement& statement = entry->second.statement;
    const Duration age = now - statement.cameAt;
    const bool isOld = statement.ratePerSecond ? age > kUnlistedRetention && !isListed(entry->first)
                                               : age > kEndedRetention;
    entry = isOld ? entries_.erase(entry) : std::next(entry);
  }
  isEmpty_ = entries_.empty();
}

}  // namespace fernmoor::gateway
