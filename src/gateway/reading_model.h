/// @file
/// Predicts the time from sending a request to the first event of its answer. That time has a part
/// that does not depend on the prompt (connections, moves of cached parts, the steps of the first
/// event) and a part that grows with the prompt tokens to be read. A mean rate over both makes an
/// idle engine look slow for a queue of long prompts, so the two are fitted separately: a least
/// squares line over recent observations, which fade.
#pragma once

#include "common/time.h"

namespace fernmoor::gateway {

/// Time to the first event as a line over the tokens to be read.
struct ReadingLine {
  Duration base{0};            ///< For no tokens.
  double tokensPerSecond = 1;  ///< Above 0.
};

/// Not thread-safe. Plain data, some 80 bytes.
class ReadingModel {
 public:
  /// Records a prompt that was read.
  /// @param tokens that had to be read from its reservation on, those ahead of it included.
  /// @param took time from its reservation to the first event.
  void note(double tokens, Duration took, Time now);
  /// @param assumedTokensPerSecond the speed of an idle engine while there are few observations.
  /// @return the line for now.
  ReadingLine line(double assumedTokensPerSecond, Time now) const;

 private:
  /// Weighted sums of observations (x: thousands of tokens, y: seconds).
  struct Sums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;

    void add(double tokens, double seconds, double weight);
    void fade(double left);
  };

  Sums sums_;
  Time at_;
};

}  // namespace fernmoor::gateway
