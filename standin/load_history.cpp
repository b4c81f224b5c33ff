#include "standin/load_history.h"

namespace fernmoor::standin {

namespace {
/// Samples kept for one lag; bounds the memory of a long lag.
constexpr int64_t kSamplesPerLag = 64;
}  // namespace

LoadHistory::LoadHistory(Duration lag) : lag_(lag), resolution_(lag / kSamplesPerLag) {}

void LoadHistory::record(const EngineLoad& load, Time now) {
  const bool sameMoment = !samples_.empty() && now - samples_.back().measuredAt <= resolution_;
  const Time moment = sameMoment ? samples_.back().measuredAt : now;
  if (!sameMoment) {
    samples_.emplace_back();
  }
  samples_.back() = load;
  samples_.back().measuredAt = moment;
  while (samples_.size() > 1 && samples_[1].measuredAt <= now - lag_) {
    samples_.pop_front();
  }
}

EngineLoad LoadHistory::at(Time now) const {
  EngineLoad load = samples_.empty() ? EngineLoad{} : samples_.front();
  for (const EngineLoad& sample : samples_) {
    if (sample.measuredAt > now - lag_) {
      break;
    }
    load = sample;
  }
  load.measuredAt = now - lag_;
  return load;
}

}  // namespace fernmoor::standin
