#include "bench/statistics.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fernmoor::bench {

double Samples::mean() const {
  if (values_.empty()) {
    return 0;
  }
  return std::accumulate(values_.begin(), values_.end(), 0.0) / static_cast<double>(values_.size());
}

double Samples::quantile(double fraction) const {
  if (values_.empty()) {
    return 0;
  }
  if (!sorted_) {
    std::sort(values_.begin(), values_.end());
    sorted_ = true;
  }
  const double rank = std::ceil(fraction * static_cast<double>(values_.size()));
  const auto index = static_cast<size_t>(std::max(1.0, rank)) - 1;
  return values_[std::min(index, values_.size() - 1)];
}

double jainIndex(const std::vector<double>& shares) {
  double sum = 0;
  double squares = 0;
  for (const double share : shares) {
    sum += share;
    squares += share * share;
  }
  if (squares == 0) {
    return 1;
  }
  return sum * sum / (static_cast<double>(shares.size()) * squares);
}

LineFit fitLine(const std::vector<Point>& points) {
  const auto count = static_cast<double>(points.size());
  double meanX = 0;
  double meanY = 0;
  for (const Point& point : points) {
    meanX += point.x / count;
    meanY += point.y / count;
  }
  double covariance = 0;
  double varianceX = 0;
  double varianceY = 0;
  for (const Point& point : points) {
    covariance += (point.x - meanX) * (point.y - meanY);
    varianceX += (point.x - meanX) * (point.x - meanX);
    varianceY += (point.y - meanY) * (point.y - meanY);
  }
  LineFit fit;
  fit.slope = varianceX > 0 ? covariance / varianceX : 0;
  fit.intercept = meanY - fit.slope * meanX;
  const double explained = fit.slope * covariance;
  fit.determination = varianceY > 0 ? explained / varianceY : 1;
  return fit;
}

}  // namespace fernmoor::bench
