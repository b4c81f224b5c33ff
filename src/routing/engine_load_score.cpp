#include "routing/engine_load_score.h"

#include <algorithm>

namespace fernmoor {

int64_t outstandingRequests(const EngineCandidate& candidate) {
  const EngineLoad& load = candidate.engine.load;
  return load.runningStreams + load.waitingRequests + candidate.placedStreams;
}

double prefillQueueSeconds(const EngineCandidate& candidate, Time now) {
  const EngineLoad& load = candidate.engine.load;
  if (load.prefillTokensPerSecond <= 0) {
    return 0;
  }
  const double queued =
      static_cast<double>(load.queuedPrefillTokens + candidate.placedPrefillTokens);
  const double age = std::max(0.0, toSeconds(now - load.measuredAt));
  return std::max(0.0, queued / load.prefillTokensPerSecond - age);
}

double engineLoadScore(const EngineCandidate& candidate, Time now) {
  const int64_t slots = std::max<int64_t>(1, candidate.engine.load.maxStreams);
  const double fullness =
      static_cast<double>(outstandingRequests(candidate)) / static_cast<double>(slots);
  return fullness + prefillQueueSeconds(candidate, now);
}

double meanLoadScore(const std::vector<EngineCandidate>& candidates, Time now) {
  double sum = 0;
  for (const EngineCandidate& candidate : candidates) {
    sum += engineLoadScore(candidate, now);
  }
  return sum / static_cast<double>(std::max<size_t>(1, candidates.size()));
}

}  // namespace fernmoor
