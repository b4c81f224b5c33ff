/// @file
/// Schedules moves of engines to new weights: earliest deadline first, latest possible start. A
/// move drops the engine's cached prompts and few engines can be moved at the same time, so each is
/// moved as late as its deadline allows, directly to the newest version. Versions that follow each
/// other quickly are skipped.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "backends/backend_set.h"
#include "backends/wanted_weights.h"
#include "common/time.h"

namespace fernmoor::weights {

/// A move that has to be made.
struct PlannedMove {
  std::string engine;
  std::string model;
  uint64_t version = 0;
  Time deadline;
};

/// Limits and durations that the plan is computed from.
struct PlanBounds {
  size_t maxConcurrentMoves = 2;  ///< Maximum number of concurrent moves.
  Duration moveTime{800000};      ///< Duration of one move, from its order to the next one.
  Duration orderTime{5000};       ///< Time that the query and the order of one engine take.
  Duration reserve{2200000};      ///< Time reserved for a takeover by another node.
};

/// The moves to make, the earliest deadline first, and when the first must start.
struct WeightPlan {
  std::vector<PlannedMove> moves;
  std::optional<Time> startBy;
};

WeightPlan planMoves(const std::vector<BackendListing>& engines, const DesiredWeights& wanted,
                     const PlanBounds& bounds);

}  // namespace fernmoor::weights
