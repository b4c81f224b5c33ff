/// @file
/// Distributes a row's requests among its pools by weight, evenly over time (smooth weighted round
/// robin).
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "gateway/traffic_table.h"

namespace fernmoor::gateway {

/// Thread-safe.
class PoolSelector {
 public:
  /// @return the name of the pool for the row's next request.
  std::string select(const Row& row);

 private:
  std::mutex mutex_;
  std::map<std::string, std::map<std::string, double>> credits_;  ///< By row and pool.
};

}  // namespace fernmoor::gateway
