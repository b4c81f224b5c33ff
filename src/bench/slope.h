/// @file
/// A cost measured while one size changes: the points, a straight line through them, and what the
/// line says at the size of the target.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "bench/statistics.h"

namespace fernmoor::bench {

struct Slope {
  std::string name;       ///< Identifier in reports, e.g. "hash-time".
  std::string what;       ///< What was measured, in words.
  std::string sizeUnit;   ///< Unit of x.
  std::string costUnit;   ///< Unit of y.
  std::string mechanism;  ///< What carries the cost, with its file.
  std::vector<Point> points;
  double targetSize = 0;  ///< x at the target.

  LineFit fit() const { return fitLine(points); }
  /// @return the fitted cost at the target's size.
  double atTarget() const { return fit().at(targetSize); }
};

/// @return a Markdown section: the points, the fit, and the cost at the target.
std::string toMarkdown(const Slope& slope);

/// @return one JSON array of all slopes.
std::string toJson(const std::vector<Slope>& slopes);

/// Repeats an action until it took a while, and
/// @return processor time of one call in seconds: the least of several trials, since whatever else
/// the machine does only ever adds.
double secondsPerCall(const std::function<void()>& action);

/// As above, for an action on a state that changes or ends with the calls.
/// @param prepare makes the state anew for each trial, and returns the action.
/// @param calls of each trial.
double secondsPerCall(const std::function<std::function<void()>()>& prepare, int64_t calls);

}  // namespace fernmoor::bench
