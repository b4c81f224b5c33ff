/// @file
/// Load of an emulated engine as it was a while ago. Not thread-safe.
#pragma once

#include <deque>

#include "common/time.h"
#include "engine/engine_state.h"

namespace fernmoor::standin {

class LoadHistory {
 public:
  /// @param lag age of what at() returns.
  explicit LoadHistory(Duration lag);

  /// Takes the load from now on. Calls within a small part of the lag count as one moment.
  void record(const EngineLoad& load, Time now);
  /// @return the load at `now` less the lag, with that moment as measuredAt.
  EngineLoad at(Time now) const;

 private:
  Duration lag_;
  Duration resolution_;
  std::deque<EngineLoad> samples_;  ///< Oldest first; measuredAt is when each became true.
};

}  // namespace fernmoor::standin
