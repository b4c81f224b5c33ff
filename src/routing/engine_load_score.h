/// @file
/// Load of an engine as the policies see it: the engine's last report, which lags, plus the
/// requests that this node has sent there since.
#pragma once

#include <vector>

#include "routing/routing_policy.h"

namespace fernmoor {

/// @return requests running or waiting at the engine, including those that this node placed since
/// the report.
int64_t outstandingRequests(const EngineCandidate& candidate);

/// Estimates the prefill work queued ahead of a new request, less what the engine can have
/// prefilled since it measured its load.
/// @return seconds; 0 if the engine's prefill rate is unknown.
double prefillQueueSeconds(const EngineCandidate& candidate, Time now);

/// Score of the load-based policies: batch occupancy (1 means full) plus seconds of queued prefill,
/// so that either kind of load raises the score.
double engineLoadScore(const EngineCandidate& candidate, Time now);

/// @return the mean of engineLoadScore() over the candidates.
double meanLoadScore(const std::vector<EngineCandidate>& candidates, Time now);

}  // namespace fernmoor
