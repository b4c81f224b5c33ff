#include "gateway/engine_pace.h"

#include <algorithm>
#include <cmath>

#include "common/decay.h"

namespace fernmoor::gateway {

namespace {

constexpr Duration kRecentHalfLife{1000000};
/// For an engine's own long-term mean (60 s): slow spells of 0.6 s hardly change it.
constexpr Duration kUsualHalfLife{60000000};
/// Observations after which the long-term mean is used.
constexpr double kMinUsual = 8;
/// A time above this multiple of the usual one counts as this multiple: a single stream may have
/// stalled for another reason than its engine.
constexpr double kMaxRatio = 3;
/// For the long-term mean: a slow spell of a quiet engine, with few observations before it, would
/// soon become the usual. A lasting change becomes the usual within minutes.
constexpr double kMaxUsualRatio = 1.25;
/// Weight of the assumption that the engine is as fast as usual, in observations.
constexpr double kPriorObservations = 1;
/// Cumulative sum test (E. S. Page, "Continuous inspection schemes", 1954) on the logarithm of the
/// ratios: it looks for times above this multiple of the usual one.
constexpr double kSuspectRatio = 1.5;
/// At this value, the engine is an outlier. Two observations at 2.5 times the usual time exceed it
/// (2 * ln(2.5 / 1.5) = 1.0), a single one of at most kMaxRatio does not (0.69).
constexpr double kOutlierSuspicion = 0.8;
/// A stream that took longer says less about the present speed (0.3 s: half of a slow spell).
constexpr double kPresentSeconds = 0.3;
/// The statistic is at most this, so that an engine that is fast again is seen soon.
constexpr double kMaxSuspicion = 1.4;
/// Part of the shortest permitted pause that is planned for. The rest is for streams that are
/// slower than the mean, and for the way to the caller.
constexpr double kPlannedPausePart = 0.8;

}  // namespace

EnginePace::Sums EnginePace::Sums::fadedTo(Time now, Duration halfLife) const {
  const double left = now > at ? decayOver(now - at, halfLife) : 1;
  return Sums{units * left, seconds * left, observations * left, std::max(at, now)};
}

void EnginePace::Sums::add(double newUnits, double newSeconds, Time now, Duration halfLife) {
  *this = fadedTo(now, halfLife);
  units += newUnits;
  seconds += newSeconds;
  observations += 1;
}

double EnginePace::Measure::usualSeconds() const {
  return usual.observations >= kMinUsual ? usual.secondsPerUnit() : 0;
}

double EnginePace::Measure::presentSeconds(Time now) const {
  if (usual.units <= 0) {
    return 0;
  }
  const Sums faded = recent.fadedTo(now, kRecentHalfLife);
  const double prior = usual.units / usual.observations * kPriorObservations;
  return (faded.seconds + prior * usual.secondsPerUnit()) / (faded.units + prior);
}

/// @return the time as a multiple of the usual one; 0: unknown.
double EnginePace::Measure::add(double units, double seconds, Time now) {
  const double expected = usualSeconds() * units;
  const double counted = expected > 0 ? std::min(seconds, expected * kMaxRatio) : seconds;
  recent.add(units, counted, now, kRecentHalfLife);
  usual.add(units, expected > 0 ? std::min(counted, expected * kMaxUsualRatio) : counted, now,
            kUsualHalfLife);
  return expected > 0 ? counted / expected : 0;
}

void EnginePace::noteStream(const StreamPace& stream, Time now) {
  if (stream.events == 0 || stream.stepping <= Duration(0)) {
    return;
  }
  const double ratio = events_.add(stream.events, toSeconds(stream.stepping), now);
  const double pauseRatio = pauses_.add(1, toSeconds(stream.longestPause), now);
  // The mean over a long stream hides a slow spell at its end, which the longest pause may show. If
  // it shows none either, that is little evidence of the contrary.
  const double worst = std::max(ratio, pauseRatio);
  const double weight = std::min(1.0, kPresentSeconds / toSeconds(stream.stepping));
  noteRatio(ratio, worst, worst < kSuspectRatio ? weight : 1, now);
}

void EnginePace::noteReading(uint64_t tokens, Duration time, Time now) {
  if (tokens == 0 || time <= Duration(0)) {
    return;
  }
  const double ratio = reading_.add(static_cast<double>(tokens), toSeconds(time), now);
  noteRatio(ratio, ratio, 1, now);
}

double EnginePace::suspicionAt(Time now) const {
  return now > suspectedAt_ ? suspicion_ * decayOver(now - suspectedAt_, kRecentHalfLife)
                            : suspicion_;
}

void EnginePace::noteRatio(double ratio, double worst, double weight, Time now) {
  if (ratio <= 0) {
    return;
  }
  ratios_.add(1, ratio, now, kRecentHalfLife);
  const double evidence = std::log(worst / kSuspectRatio) * weight;
  suspicion_ = std::clamp(suspicionAt(now) + evidence, 0.0, kMaxSuspicion);
  suspectedAt_ = std::max(suspectedAt_, now);
  if (suspicion_ > 0) {
    run_.add(weight, worst * weight, now, kRecentHalfLife);
  } else {
    run_ = Sums();
  }
}

PaceStanding EnginePace::standing(Time now) const {
  const Sums faded = ratios_.fadedTo(now, kRecentHalfLife);
  const double mean = (faded.seconds + kPriorObservations) / (faded.units + kPriorObservations);
  PaceStanding standing;
  standing.isOutlier = suspicionAt(now) >= kOutlierSuspicion;
  // Observations before the engine became slow do not count towards its present speed.
  standing.slowness = std::max({1.0, mean, standing.isOutlier ? run_.secondsPerUnit() : 1.0});
  return standing;
}

double EnginePace::secondsPerEvent(Time now) const {
  const PaceStanding present = standing(now);
  const double slow = present.isOutlier ? events_.usualSeconds() * present.slowness : 0;
  return std::max(events_.presentSeconds(now), slow);
}

double EnginePace::tokensPerSecond(Time now) const {
  const PaceStanding present = standing(now);
  const double slow = present.isOutlier ? reading_.usualSeconds() * present.slowness : 0;
  const double perToken = std::max(reading_.presentSeconds(now), slow);
  return perToken > 0 ? 1 / perToken : 0;
}

uint64_t EnginePace::maxReadingTokens(Duration shortestPause, uint64_t readingTokens,
                                      uint64_t promptTokens, Time now) const {
  const double speed = tokensPerSecond(now);
  if (shortestPause <= Duration(0) || speed <= 0) {
    return kUnboundedReading;
  }
  // An event's steps take the usual time and the time to read the tokens that fall into them: with
  // chunked prefill, at most all those in prefill. The measured time per event includes some of
  // the reading, so the bound is a little lower than necessary.
  const double forReading = toSeconds(shortestPause) * kPlannedPausePart - secondsPerEvent(now);
  const double bound = std::max(0.0, forReading * speed);
  const uint64_t least = readingTokens == 0 ? promptTokens : 0;
  return std::max(least, static_cast<uint64_t>(std::min(bound, 1e15)));
}

}  // namespace fernmoor::gateway
