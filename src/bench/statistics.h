/// @file
/// Small statistics of the reports: quantiles, fairness and straight-line fits. Pure.
#pragma once

#include <cstddef>
#include <vector>

namespace fernmoor::bench {

/// Collects samples and answers quantiles exactly. Not thread-safe.
class Samples {
 public:
  void add(double value) {
    values_.push_back(value);
    sorted_ = false;
  }
  size_t count() const { return values_.size(); }
  /// @return the mean, 0 without samples.
  double mean() const;
  /// @param fraction in [0, 1]. Nearest rank: the smallest sample that at least that fraction of
  /// all samples doesn't exceed; 0 without samples.
  double quantile(double fraction) const;

 private:
  mutable std::vector<double> values_;
  mutable bool sorted_ = true;
};

/// Jain's index of fairness: 1 where all shares are equal, 1/n where one has everything.
/// R. Jain, D. Chiu, W. Hawe, "A quantitative measure of fairness", DEC TR-301, 1984.
double jainIndex(const std::vector<double>& shares);

struct Point {
  double x = 0;
  double y = 0;
};

/// y = intercept + slope * x by least squares.
struct LineFit {
  double slope = 0;
  double intercept = 0;
  double determination = 0;  ///< R squared; 1 for a perfect fit.
  /// @return the fitted value.
  double at(double x) const { return intercept + slope * x; }
};

/// @param points at least two with different x.
LineFit fitLine(const std::vector<Point>& points);

}  // namespace fernmoor::bench
