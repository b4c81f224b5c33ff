#include "gateway/admission_window.h"

#include <algorithm>
#include <cmath>

namespace fernmoor::gateway {

namespace {

/// Rejections are counted over this time, as the engine counts them.
constexpr Duration kRejectionPeriod{1000000};
/// Share of the rejections that an engine survives after which it gets no request for the rest of
/// the second: others are on their way, or come from nodes whose requests were not counted.
constexpr double kMaxRejectionShare = 0.25;
/// An engine that survives at least this many rejections gets requests after a single one.
constexpr double kMinToSpareOne = 4;
/// Time until a rejection of an admitted request is known here: a round trip to the engine and the
/// report of its node, with margin (100 ms).
constexpr Duration kFeedbackTime{100000};
/// Share of the rejections that an engine survives that may be admitted within the feedback time
/// while the count may be incomplete.
constexpr double kCautiousShare = 0.5;
/// Time after a rejection for which few requests are admitted at once.
constexpr Duration kCautiousTime{2000000};
/// Most requests that were sent before a window existed, and were not counted, have ended after
/// this time (3 s). A rejection before that shows little of what the engine can hold.
constexpr Duration kUncountedTime{3000000};
/// A window grows by one request in this time (250 ms) up to what the engine held when it rejected
/// one, and beyond that in the longer one (2 s): each request too many costs a rejection.
constexpr Duration kGrowthInterval{250000};
constexpr Duration kProbeInterval{2000000};
/// Assumed places of an engine that lists none.
constexpr size_t kAssumedPlaces = 8;
/// A place is tried for again after this time (50 ms): about the time until one of a batch ends.
constexpr Duration kFullWait{50000};
constexpr Duration kUnusedAfter{20000000};

size_t atLeastOne(double count) {
  return std::max<size_t>(1, static_cast<size_t>(count));
}

/// @return rejections within a second after which the engine gets no more requests.
size_t maxRejections(double survivesPerSecond) {
  const size_t ofShare = atLeastOne(survivesPerSecond * kMaxRejectionShare);
  return survivesPerSecond >= kMinToSpareOne ? std::max<size_t>(2, ofShare) : 1;
}

}  // namespace

AdmissionWindows::Window& AdmissionWindows::windowOf(uint64_t engine, double size, Time now) {
  const auto [found, isNew] = windows_.try_emplace(engine);
  Window& window = found->second;
  if (isNew) {
    window.size = size;
    window.knownSize = size;
    window.grownAt = now;
    window.countsAllFrom = now + kUncountedTime;
    window.cautiousUntil = window.countsAllFrom;
  }
  window.usedAt = now;
  return window;
}

AdmissionOffer AdmissionWindows::admit(uint64_t engine, const BrittleLoad& load, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto places = static_cast<double>(load.places > 0 ? load.places : kAssumedPlaces);
  Window& window = windowOf(engine, places, now);
  if (now < window.closedUntil) {
    return AdmissionOffer{false, window.closedUntil - now};
  }
  const double sinceGrowth = toSeconds(std::max(Duration(0), now - window.grownAt));
  window.knownSize = std::min(places, window.knownSize + sinceGrowth / toSeconds(kProbeInterval));
  window.size = std::min(window.knownSize, window.size + sinceGrowth / toSeconds(kGrowthInterval));
  window.grownAt = std::max(window.grownAt, now);
  if (static_cast<double>(load.present) + 1 > std::floor(window.size)) {
    return AdmissionOffer{false, kFullWait};
  }
  if (now < window.cautiousUntil) {
    if (now - window.burstSince >= kFeedbackTime) {
      window.burstSince = now;
      window.burst = 0;
    }
    if (window.burst >= atLeastOne(load.survivesPerSecond * kCautiousShare)) {
      return AdmissionOffer{false, kFeedbackTime - (now - window.burstSince)};
    }
    ++window.burst;
  }
  return AdmissionOffer{true, Duration(0)};
}

void AdmissionWindows::noteRejection(uint64_t engine, size_t present, double survivesPerSecond,
                                     Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const double held = std::max<double>(1, static_cast<double>(present) - 1);
  Window& window = windowOf(engine, held, now);
  window.size = std::min(window.size, held);
  if (now >= window.countsAllFrom) {
    window.knownSize = window.size;
  }
  window.grownAt = now;
  window.cautiousUntil = std::max(window.cautiousUntil, now + kCautiousTime);
  window.rejections.push_back(now);
  while (now - window.rejections.front() >= kRejectionPeriod) {
    window.rejections.pop_front();
  }
  if (window.rejections.size() >= maxRejections(survivesPerSecond)) {
    window.closedUntil = now + kRejectionPeriod;
    window.grownAt = window.closedUntil;
    window.cautiousUntil = std::max(window.cautiousUntil, window.closedUntil + kCautiousTime);
  }
}

void AdmissionWindows::forgetUnused(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto window = windows_.begin(); window != windows_.end();) {
    const bool isUnused = now - window->second.usedAt > kUnusedAfter;
    window = isUnused ? windows_.erase(window) : std::next(window);
  }
}

}  // namespace fernmoor::gateway
