#include "gateway/return_times.h"

#include <algorithm>

#include "common/decay.h"

namespace fernmoor::gateway {

namespace {

constexpr Duration kHalfLife{2000000};
/// A caller waits at most its remaining time divided by this; it needs the rest for its answer.
constexpr int kMaxWaitDivisor = 3;

}  // namespace

ReturnTimes::Shortage& ReturnTimes::shortageOf(const std::string& pool, Time now) {
  Shortage& shortage = pools_[pool];
  const double left = decayOver(now - shortage.at, kHalfLife);
  shortage = Shortage{shortage.permitted * left, shortage.refused * left, now};
  return shortage;
}

void ReturnTimes::notePermitted(const std::string& pool, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++shortageOf(pool, now).permitted;
}

Duration ReturnTimes::next(const std::string& pool, Duration due, Duration timeLeft, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Shortage& shortage = shortageOf(pool, now);
  const double refusedForEach = shortage.refused / (shortage.permitted + 1);
  ++shortage.refused;
  const Duration spread = fromSeconds(toSeconds(due) * refusedForEach);
  const Duration latest = std::max(due, std::min(due + spread, timeLeft / kMaxWaitDivisor));
  return random_.between(due, latest);
}

}  // namespace fernmoor::gateway
