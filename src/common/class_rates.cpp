#include "common/class_rates.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fernmoor {

namespace {

constexpr double kMillisecondsPerSecond = 1000;

ClassTotals totalsOf(const std::vector<ClassTotals>& all, const MetricClass& wanted) {
  for (const ClassTotals& totals : all) {
    const bool same = totals.requestClass.service == wanted.service &&
                      totals.requestClass.tenant == wanted.tenant;
    if (same) {
      return totals;
    }
  }
  return {};
}

std::vector<double> newCounts(const ClassTotals& before, const ClassTotals& after) {
  std::vector<double> counts = after.firstTokenCounts;
  for (size_t i = 0; i < counts.size() && i < before.firstTokenCounts.size(); ++i) {
    counts[i] -= before.firstTokenCounts[i];
  }
  return counts;
}

/// Linear within the bucket, as Prometheus' histogram_quantile(); the open last bucket gives its
/// lower bound.
double quantileMilliseconds(const std::vector<double>& bounds, const std::vector<double>& counts,
                            double quantile) {
  const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
  if (total <= 0) {
    return 0;
  }
  double rank = quantile * total;
  double lower = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    const bool inside = rank <= counts[i] && counts[i] > 0;
    if (inside && std::isinf(bounds[i])) {
      break;
    }
    if (inside) {
      return kMillisecondsPerSecond * (lower + (bounds[i] - lower) * rank / counts[i]);
    }
    rank -= counts[i];
    lower = std::isinf(bounds[i]) ? lower : bounds[i];
  }
  return kMillisecondsPerSecond * lower;
}

}  // namespace

std::vector<ClassRates> ratesBetween(const std::vector<ClassTotals>& before,
                                     const std::vector<ClassTotals>& after, Duration interval) {
  const double seconds = toSeconds(interval);
  std::vector<ClassRates> all;
  for (const ClassTotals& now : after) {
    const ClassTotals earlier = totalsOf(before, now.requestClass);
    const std::vector<double> counts = newCounts(earlier, now);
    const double asked = now.blocksAsked - earlier.blocksAsked;
    ClassRates rates;
    rates.requestClass = now.requestClass;
    rates.requestsPerSecond = (now.requests - earlier.requests) / seconds;
    rates.refusedPerSecond = (now.refusals - earlier.refusals) / seconds;
    rates.hitRate = asked > 0 ? (now.blocksHit - earlier.blocksHit) / asked : 0;
    rates.firstTokenMedianMilliseconds = quantileMilliseconds(now.firstTokenBounds, counts, 0.5);
    rates.firstToken95Milliseconds = quantileMilliseconds(now.firstTokenBounds, counts, 0.95);
    rates.recomputedTokensPerSecond = (now.recomputedTokens - earlier.recomputedTokens) / seconds;
    all.push_back(rates);
  }
  return all;
}

}  // namespace fernmoor
