/// @file
/// Ids of requests: unique over all nodes and their lives.
#pragma once

#include <atomic>

#include "common/ids.h"
#include "common/random.h"
#include "common/role.h"

namespace fernmoor {

/// Thread-safe.
class RequestIds {
 public:
  /// @param life node and incarnation, which no other process shares.
  explicit RequestIds(NodeLife life) : life_(life) {}

  /// @return "NODE-INCARNATION-NUMBER" in hexadecimal.
  RequestId next();
  /// @return a seed for one request's random choices.
  uint64_t seedOf(const RequestId& request) const;

 private:
  const NodeLife life_;
  std::atomic<uint64_t> count_{0};
};

}  // namespace fernmoor
