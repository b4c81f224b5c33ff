/// @file
/// Turns ended requests into the measures of the brief: hit rate, time to first token, wasted
/// recomputation, refusals, retries.
#pragma once

#include "common/metrics.h"
#include "relay/request_record.h"

namespace fernmoor {

/// Tokens that were computed although some engine that was weighed was believed to hold them.
/// Pure.
int64_t recomputedTokensOf(const RequestRecord& record);

/// Thread-safe.
class RequestMeasures {
 public:
  explicit RequestMeasures(Metrics& metrics) : metrics_(metrics) {}
  /// Counts one request. Requests that no row governs are not counted by class.
  void noteEnded(const RequestRecord& record);
  Metrics& metrics() { return metrics_; }

 private:
  Metrics& metrics_;
};

}  // namespace fernmoor
