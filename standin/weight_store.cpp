#include "standin/weight_store.h"

#include <algorithm>

namespace fernmoor::standin {

double WeightStore::rate() const {
  const auto loads = static_cast<double>(std::max<size_t>(1, secondsLeft_.size()));
  return std::min(1.0, static_cast<double>(options_.parallelLoads) / loads);
}

void WeightStore::progress(Time now) {
  const double done = toSeconds(now - updated_) * rate();
  for (auto& [load, seconds] : secondsLeft_) {
    seconds = std::max(0.0, seconds - done);
  }
  updated_ = now;
}

std::optional<uint64_t> WeightStore::begin(Time now) {
  progress(now);
  if (static_cast<int64_t>(secondsLeft_.size()) >= options_.maximumLoads) {
    return std::nullopt;
  }
  secondsLeft_[++loads_] = toSeconds(options_.loadTime);
  return loads_;
}

Time WeightStore::expectedEnd(uint64_t load, Time now) {
  progress(now);
  const auto found = secondsLeft_.find(load);
  return found == secondsLeft_.end() ? now : now + fromSeconds(found->second / rate());
}

void WeightStore::end(uint64_t load, Time now) {
  progress(now);
  secondsLeft_.erase(load);
}

}  // namespace fernmoor::standin
