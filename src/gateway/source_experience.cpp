#include "gateway/source_experience.h"

namespace fernmoor::gateway {

namespace {

/// A node of a busy fleet sees about four long prompts per second, so this averages over about
/// twenty.
constexpr Duration kHalfLife{5000000};
/// Minimum number of prompt tokens from each source for a comparison: about two long prompts.
constexpr double kMinTokens = 15000;
/// Ratio of store time to engine time from which the store counts as slow. An idle store delivers
/// the parts of a long prompt 35 to 40 ms later than an engine, out of 200 ms or more to the first
/// event, while a source that has evicted them costs about 100 ms of recomputation. 1.6 was worse
/// when the store's link was saturated (docs/DECISIONS.md, round 6).
constexpr double kSlowFactor = 1.2;

}  // namespace

void SourceExperience::note(PartSource source, uint64_t promptTokens, Duration took, Time now) {
  if (source == PartSource::kUncertain) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  DecayingQuotient& observed = source == PartSource::kStore ? store_ : engine_;
  observed.add(static_cast<double>(promptTokens), toSeconds(took), now, kHalfLife);
}

bool SourceExperience::isStoreSlow(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const DecayingQuotient store = store_.fadedTo(now, kHalfLife);
  const DecayingQuotient engine = engine_.fadedTo(now, kHalfLife);
  if (store.amount < kMinTokens || engine.amount < kMinTokens) {
    return false;
  }
  return store.seconds / store.amount > kSlowFactor * engine.seconds / engine.amount;
}

}  // namespace fernmoor::gateway
