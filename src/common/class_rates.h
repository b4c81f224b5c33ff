/// @file
/// Rates of a class of requests over an interval, from two readings of its sums; what
/// `fernmoorctl top` shows.
#pragma once

#include <vector>

#include "common/metrics.h"

namespace fernmoor {

struct ClassRates {
  MetricClass requestClass;
  double requestsPerSecond = 0;
  double refusedPerSecond = 0;
  double hitRate = 0;  ///< Blocks hit of blocks asked, 0 to 1; 0 where none was asked.
  double firstTokenMedianMilliseconds = 0;
  double firstToken95Milliseconds = 0;  ///< 95 in 100 came within it.
  double recomputedTokensPerSecond = 0;
};

/// @param before an earlier reading; classes missing in it count from zero.
/// @param after a later reading.
/// @param interval time between the two; greater than zero.
std::vector<ClassRates> ratesBetween(const std::vector<ClassTotals>& before,
                                     const std::vector<ClassTotals>& after, Duration interval);

}  // namespace fernmoor
