#include "gateway/reading_model.h"

#include <algorithm>

#include "common/decay.h"

namespace fernmoor::gateway {

namespace {

/// Long enough for some ten prompts at a busy engine, short enough to follow an engine that is slow
/// for a second or two.
constexpr Duration kHalfLife{1500000};
/// Assumed observations of an idle engine. They keep the slope sensible where all observed prompts
/// are about equally long.
constexpr double kAssumedBaseSeconds = 0.02;
constexpr double kAssumedTokens[] = {500, 10000};
constexpr double kAssumedWeight = 0.3;
/// Bounds of the fitted rate: beyond them a fit is an artefact of few observations.
constexpr double kMinTokensPerSecond = 4000;
constexpr double kMaxTokensPerSecond = 400000;
constexpr double kTokensPerUnit = 1000;

}  // namespace

void ReadingModel::Sums::add(double tokens, double seconds, double by) {
  const double units = tokens / kTokensPerUnit;
  weight += by;
  x += by * units;
  y += by * seconds;
  xx += by * units * units;
  xy += by * units * seconds;
}

void ReadingModel::Sums::fade(double left) {
  weight *= left;
  x *= left;
  y *= left;
  xx *= left;
  xy *= left;
}

void ReadingModel::note(double tokens, Duration took, Time now) {
  sums_.fade(decayOver(now - at_, kHalfLife));
  sums_.add(tokens, toSeconds(took), 1.0);
  at_ = now;
}

ReadingLine ReadingModel::line(double assumedTokensPerSecond, Time now) const {
  Sums sums = sums_;
  sums.fade(decayOver(now - at_, kHalfLife));
  for (const double tokens : kAssumedTokens) {
    sums.add(tokens, kAssumedBaseSeconds + tokens / assumedTokensPerSecond, kAssumedWeight);
  }
  const double meanX = sums.x / sums.weight;
  const double meanY = sums.y / sums.weight;
  const double variance = sums.xx / sums.weight - meanX * meanX;
  const double covariance = sums.xy / sums.weight - meanX * meanY;
  const double fitted = covariance / variance;  // Above 0, as the assumed prompts differ in length.
  // A base below 0 is none: the line then goes through the origin.
  const bool hasBase = meanY - fitted * meanX >= 0;
  const double secondsPerUnit =
      std::clamp(hasBase ? fitted : sums.xy / sums.xx, kTokensPerUnit / kMaxTokensPerSecond,
                 kTokensPerUnit / kMinTokensPerSecond);
  ReadingLine line;
  line.tokensPerSecond = kTokensPerUnit / secondsPerUnit;
  line.base = fromSeconds(std::max(0.0, meanY - secondsPerUnit * meanX));
  return line;
}

}  // namespace fernmoor::gateway
