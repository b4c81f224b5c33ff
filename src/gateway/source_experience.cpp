#include "gateway/source_experience.h"

namespace fernmoor::gateway {

namespace {

/// A node of a busy fleet sees some four long prompts a second, so this remembers about twenty.
constexpr Duration kHalfLife{5000000};
/// Prompt tokens of each kind without which nothing is concluded: about two long prompts.
constexpr double kFewestTokens = 15000;
/// From an idle store a long prompt's parts take 35 to 40 ms longer than from an engine, of 200 ms
/// and more until the first event, while a source that has dropped them costs some 100 ms of
/// reading. 1.6 was worse where the store's link is full (docs/DECISIONS.md, round 6).
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
  if (store.amount < kFewestTokens || engine.amount < kFewestTokens) {
    return false;
  }
  return store.seconds / store.amount > kSlowFactor * engine.seconds / engine.amount;
}

}  // namespace fernmoor::gateway
