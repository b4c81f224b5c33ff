#include "admission/pool_capacity.h"

#include <algorithm>
#include <cmath>

#include "routing/engine_load_score.h"

namespace fernmoor {

namespace {

double freePlacesAt(const EngineCandidate& candidate, Time now, const Knobs& knobs) {
  const EngineLoad& load = candidate.engine.load;
  const double bound = static_cast<double>(load.maxStreams) * (1.0 + knobs.engineQueueFactor);
  // A long prefill queue delays new requests no matter how many batch slots are free.
  if (prefillQueueSeconds(candidate, now) > knobs.engineQueueSeconds) {
    return 0;
  }
  return std::max(0.0, bound - static_cast<double>(outstandingRequests(candidate)));
}

}  // namespace

int64_t freePlaces(const std::vector<EngineCandidate>& candidates, int64_t nodes, Time now,
                   const Knobs& knobs) {
  double places = 0;
  for (const EngineCandidate& candidate : candidates) {
    places += freePlacesAt(candidate, now, knobs);
  }
  return static_cast<int64_t>(std::ceil(places / static_cast<double>(std::max<int64_t>(1, nodes))));
}

}  // namespace fernmoor
