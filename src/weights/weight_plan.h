/// @file
/// When which engines are moved to new weights. A move drops the engine's cached prompts and
/// engines take few at a time, so each is moved as late as its deadline allows, straight to the
/// newest version: versions that come in quick succession are skipped (earliest deadline first,
/// latest start).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "backends/backend_set.h"
#include "backends/wanted_weights.h"
#include "common/time.h"

namespace fernmoor::weights {

/// One move that is to be made.
struct PlannedMove {
  std::string engine;
  std::string model;
  uint64_t version = 0;
  Time deadline;
};

/// What the plan goes by.
struct PlanBounds {
  size_t atOnce = 2;          ///< Moves that may run at the same time.
  Duration moveTime{800000};  ///< How long one takes, from order to order.
  Duration reserve{2200000};  ///< Kept free for a takeover by another node.
};

/// The moves that are owed, the most urgent first, and when the first must start.
struct WeightPlan {
  std::vector<PlannedMove> moves;
  std::optional<Time> startBy;
};

WeightPlan planMoves(const std::vector<BackendListing>& engines, const WantedWeights& wanted,
                     const PlanBounds& bounds);

}  // namespace fernmoor::weights
