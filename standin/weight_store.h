/// @file
/// Timing of the platform's rate-limited weight store: loads share its rate. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "common/time.h"

namespace fernmoor::standin {

struct WeightStoreOptions {
  Duration loadTime{500000};  ///< Of one load while few are under way.
  int64_t parallelLoads = 2;  ///< More than this slow each other down.
  int64_t maximumLoads = 16;  ///< More than this are refused.
};

class WeightStore {
 public:
  explicit WeightStore(WeightStoreOptions options) : options_(options) {}

  /// @return the load's number; none where too many are under way.
  std::optional<uint64_t> begin(Time now);
  /// @return when the load will be complete if nothing changes.
  Time expectedEnd(uint64_t load, Time now);
  void end(uint64_t load, Time now);

 private:
  double rate() const;
  void progress(Time now);

  WeightStoreOptions options_;
  std::map<uint64_t, double> secondsLeft_;  ///< At full rate, for each load under way.
  Time updated_;
  uint64_t loads_ = 0;
};

}  // namespace fernmoor::standin
