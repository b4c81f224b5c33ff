/// @file
/// Load of an engine as the policies see it: the engine's lagging report plus what this node sent
/// there since.
#pragma once

#include <vector>

#include "routing/routing_policy.h"

namespace fernmoor {

/// @return requests at the engine, running or waiting, with those that this node placed since.
int64_t outstandingRequests(const EngineCandidate& candidate);

/// Prefill work that is believed to be still ahead of a new request. What the engine can have
/// prefilled since it measured its load is taken off.
/// @return seconds; 0 where the engine's prefill rate is unknown.
double prefillQueueSeconds(const EngineCandidate& candidate, Time now);

/// Load of the load-only policies: fullness of the batch (1 is a full one) plus seconds of queued
/// prefill, so that either kind of pressure tells.
double engineLoadScore(const EngineCandidate& candidate, Time now);

/// @return the mean of engineLoadScore over the candidates.
double meanLoadScore(const std::vector<EngineCandidate>& candidates, Time now);

}  // namespace fernmoor
