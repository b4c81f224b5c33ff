#include "gateway/kind_separation.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace fernmoor::gateway {

namespace {

/// Half-life of the observations: a node sees 3 to 10 requests a second, and needs about a hundred
/// for a steady result.
constexpr Duration kObservationHalfLife{10000000};
/// Requests of the pool that a node must have seen recently to separate its rows.
constexpr double kMinRequests = 20;
/// Time that a node must have observed the pool, as the first seconds give no rate.
constexpr double kMinObservedSeconds = 2;
/// A row with fewer recent requests is no reason to separate the others from it.
constexpr double kMinRequestsOfRow = 2;
/// Fewer engines are not worth dividing: each side would lose too much of its choice.
constexpr size_t kMinEngines = 8;
/// A row is long if its mean prompt takes this part of the shortest maximum gap or more to read: a
/// few of them in a row then exceed it.
constexpr double kLongPromptShare = 1.0 / 6;
/// Short rows are given enough engines to fill this part of the slots there. The rest absorbs
/// variations of the demand.
constexpr double kSlotUse = 0.4;
/// The engines for short rows are a multiple of this part of all, so that most nodes agree on the
/// border although each sees only its own few requests. Engines near a border that nodes disagree
/// on serve both kinds.
constexpr size_t kBorderSteps = 8;
/// Largest part of the engines for short rows.
constexpr double kMaxShortEngines = 0.6;
/// Largest part of the time of the other engines that reading the long prompts may take.
constexpr double kMaxLongReading = 0.6;
/// Relative change below which a result is kept, so that random variation of a node's few requests
/// doesn't move the border.
constexpr double kHysteresis = 0.25;
/// A row with fewer recent requests and none running is forgotten.
constexpr double kForgottenRequests = 0.01;

}  // namespace

void KindSeparation::RowUse::fadeTo(Time now) {
  if (now <= at) {
    return;
  }
  const double left = decayOver(now - at, kObservationHalfLife);
  requests *= left;
  tokens *= left;
  wholeTokens *= left;
  statedTokens *= left;
  statedSeconds *= left;
  firstEventTokens *= left;
  firstEventSeconds *= left;
  // The integral of the decay from `at` to `now`.
  const double seconds = toSeconds(kObservationHalfLife) / std::log(2.0) * (1 - left);
  runningSeconds = runningSeconds * left + running * seconds;
  at = now;
}

void KindSeparation::noteSent(const std::string& row, Duration longestPause,
                              const SentPrompt& prompt, Time now) {
  if (!isObserving_) {
    isObserving_ = true;
    observedTo_ = now;
  }
  RowUse& use = rows_[row];
  use.fadeTo(now);
  use.longestPause = longestPause;
  ++use.running;
  ++use.requests;
  const auto toRead = static_cast<double>(prompt.toRead);
  use.tokens += toRead;
  use.wholeTokens += static_cast<double>(prompt.whole);
  if (prompt.tokensPerSecond > 0) {
    use.statedTokens += toRead;
    use.statedSeconds += toRead / prompt.tokensPerSecond;
  }
}

void KindSeparation::noteFirstEvent(const std::string& row, uint64_t tokens, Duration took,
                                    Time now) {
  const auto found = rows_.find(row);
  if (found != rows_.end() && took > Duration(0)) {
    found->second.fadeTo(now);
    found->second.firstEventTokens += static_cast<double>(tokens);
    found->second.firstEventSeconds += toSeconds(took);
  }
}

void KindSeparation::noteEnded(const std::string& row, Time now) {
  const auto found = rows_.find(row);
  if (found != rows_.end()) {
    found->second.fadeTo(now);
    found->second.running = std::max(0, found->second.running - 1);
  }
}

void KindSeparation::fadeAll(Time now) {
  if (isObserving_ && now > observedTo_) {
    const double left = decayOver(now - observedTo_, kObservationHalfLife);
    const double seconds = toSeconds(kObservationHalfLife) / std::log(2.0) * (1 - left);
    observedSeconds_ = observedSeconds_ * left + seconds;
    observedTo_ = now;
  }
  for (auto each = rows_.begin(); each != rows_.end();) {
    each->second.fadeTo(now);
    const bool isForgotten =
        each->second.running == 0 && each->second.requests < kForgottenRequests;
    each = isForgotten ? rows_.erase(each) : std::next(each);
  }
}

/// The speed that the owners of engines state. Without it: the first event of a short prompt takes
/// much longer than reading it, as it also waits for the engine's other work. The row with the most
/// tokens for its time is the closest to the real speed.
double KindSeparation::tokensPerSecond() const {
  double tokens = 0;
  double seconds = 0;
  for (const auto& [row, use] : rows_) {
    tokens += use.statedTokens;
    seconds += use.statedSeconds;
  }
  if (seconds > 0) {
    return tokens / seconds;
  }
  double most = 0;
  for (const auto& [row, use] : rows_) {
    if (use.requests >= kMinRequestsOfRow && use.firstEventSeconds > 0) {
      most = std::max(most, use.firstEventTokens / use.firstEventSeconds);
    }
  }
  return most;
}

void KindSeparation::classifyRows(double tokensPerSecond) {
  Duration shortest{0};
  for (const auto& [row, use] : rows_) {
    if (use.longestPause > Duration(0) &&
        (shortest == Duration(0) || use.longestPause < shortest)) {
      shortest = use.longestPause;
    }
  }
  const double bound = toSeconds(shortest) * kLongPromptShare;
  for (auto& [row, use] : rows_) {
    if (shortest == Duration(0) || tokensPerSecond == 0) {
      use.isLong.reset();
    } else if (use.requests >= kMinRequestsOfRow || !use.isLong) {
      // Whole prompts, so that a row does not change its kind with what is cached.
      const double reading = use.wholeTokens / use.requests / tokensPerSecond;
      use.isLong = reading >= bound * (use.isLong.value_or(false) ? 1 - kHysteresis : 1);
    }
  }
}

KindSeparation::Demand KindSeparation::demand(double tokensPerSecond, size_t nodes) const {
  Demand sum;
  const double scale = static_cast<double>(nodes) / observedSeconds_;
  for (const auto& [row, use] : rows_) {
    sum.requests += use.requests;
    const bool isActive = use.requests >= kMinRequestsOfRow;
    if (use.isLong.value_or(false)) {
      sum.longEngines += use.tokens / tokensPerSecond * scale;
      sum.hasLong = sum.hasLong || isActive;
    } else {
      sum.shortSlots += use.runningSeconds * scale;
      sum.hasShort = sum.hasShort || isActive;
    }
  }
  return sum;
}

bool KindSeparation::isEnough(size_t shortEngines, const Demand& needed, size_t engines) const {
  // An existing separation ends only beyond its limits by the hysteresis.
  const double slack = shortEngines_ ? 1 + kHysteresis : 1;
  const auto all = static_cast<double>(engines);
  const auto ofShort = static_cast<double>(shortEngines);
  return ofShort <= all * kMaxShortEngines * slack &&
         needed.longEngines <= (all - ofShort) * kMaxLongReading * slack;
}

std::optional<size_t> KindSeparation::newShortEngines(const PoolCapacity& capacity) const {
  const double speed = tokensPerSecond();
  if (speed == 0 || observedSeconds_ < kMinObservedSeconds || capacity.slotsPerEngine == 0 ||
      capacity.usableEngines < kMinEngines) {
    return std::nullopt;
  }
  const Demand needed = demand(speed, std::max<size_t>(1, capacity.liveNodes));
  const double fewest = shortEngines_ ? kMinRequests * (1 - kHysteresis) : kMinRequests;
  if (!needed.hasLong || !needed.hasShort || needed.requests < fewest) {
    return std::nullopt;
  }
  const double slots = capacity.slotsPerEngine * kSlotUse;
  const double step = static_cast<double>(capacity.usableEngines) / kBorderSteps;
  const double steps = std::max(1.0, std::ceil(needed.shortSlots / slots / step));
  const auto wanted = static_cast<size_t>(std::ceil(steps * step));
  if (!isEnough(wanted, needed, capacity.usableEngines)) {
    return std::nullopt;
  }
  if (shortEngines_ && isEnough(*shortEngines_, needed, capacity.usableEngines)) {
    const auto now = static_cast<double>(*shortEngines_);
    const double change = std::abs(static_cast<double>(wanted) - now);
    return change > kHysteresis * now ? wanted : *shortEngines_;
  }
  return wanted;
}

bool KindSeparation::update(const PoolCapacity& capacity, Time now) {
  fadeAll(now);
  classifyRows(tokensPerSecond());
  const std::optional<size_t> former = std::exchange(shortEngines_, newShortEngines(capacity));
  return shortEngines_ != former;
}

std::optional<bool> KindSeparation::isLong(const std::string& row) const {
  const auto found = rows_.find(row);
  return found == rows_.end() ? std::nullopt : found->second.isLong;
}

uint64_t leastWeightOfFirst(uint64_t orderKey, const std::vector<uint64_t>& engines, size_t count) {
  std::vector<uint64_t> weights;
  weights.reserve(engines.size());
  for (const uint64_t engine : engines) {
    weights.push_back(orderWeight(orderKey, engine));
  }
  const auto last = weights.begin() + static_cast<ptrdiff_t>(count - 1);
  std::nth_element(weights.begin(), last, weights.end(), std::greater<>());
  return *last;
}

}  // namespace fernmoor::gateway
