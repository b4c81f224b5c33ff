#include "weights/weight_plan.h"

#include <algorithm>

namespace fernmoor::weights {

namespace {

void addRequiredMoves(const BackendListing& engine, const DesiredWeights& wanted,
                      std::vector<PlannedMove>& moves) {
  for (const HeldWeights& held : engine.weights) {
    const std::optional<Time> deadline = wanted.deadlineFor(held.model, held.version);
    if (deadline) {
      moves.push_back(PlannedMove{engine.id, held.model, wanted.newest(held.model), *deadline});
    }
  }
}

}  // namespace

WeightPlan planMoves(const std::vector<BackendListing>& engines, const DesiredWeights& wanted,
                     const PlanBounds& bounds) {
  WeightPlan plan;
  for (const BackendListing& engine : engines) {
    if (!engine.isDraining) {
      addRequiredMoves(engine, wanted, plan.moves);
    }
  }
  std::stable_sort(
      plan.moves.begin(), plan.moves.end(),
      [](const PlannedMove& a, const PlannedMove& b) { return a.deadline < b.deadline; });
  const size_t maxConcurrentMoves = std::max<size_t>(1, bounds.maxConcurrentMoves);
  for (size_t index = 0; index < plan.moves.size(); ++index) {
    const auto rounds = static_cast<Duration::rep>(index / maxConcurrentMoves + 1);
    // One node orders one engine after the other, which takes longer than the moves if many engines
    // are moved at once.
    const Duration ordered = bounds.orderTime * static_cast<Duration::rep>(index) + bounds.moveTime;
    const Duration needed = std::max(bounds.moveTime * rounds, ordered);
    const Time latest = plan.moves[index].deadline - bounds.reserve - needed;
    plan.startBy = plan.startBy ? std::min(*plan.startBy, latest) : latest;
  }
  return plan;
}

}  // namespace fernmoor::weights
