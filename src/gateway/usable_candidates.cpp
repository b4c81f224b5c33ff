#include "gateway/usable_candidates.h"

#include <algorithm>
#include <array>
#include <utility>

namespace fernmoor::gateway {

namespace {

/// Preference classes of candidates; the first class that has any is used.
enum class PreferenceClass { kSound, kAvoided, kLeaving };
constexpr size_t kPreferenceClasses = 3;

PreferenceClass preferenceClassOf(const BackendView& candidate) {
  if (candidate.isLeaving) {
    return PreferenceClass::kLeaving;
  }
  return candidate.isAvoided ? PreferenceClass::kAvoided : PreferenceClass::kSound;
}

}  // namespace

Candidates usableCandidates(const std::vector<BackendView>& candidates,
                            const ChoiceContext& context) {
  std::array<Candidates, kPreferenceClasses> usable;
  for (const BackendView& candidate : candidates) {
    if (context.tried.count(candidate.listing->id) == 0 && candidate.restsUntil <= context.now) {
      usable[static_cast<size_t>(preferenceClassOf(candidate))].push_back(&candidate);
    }
  }
  const auto first = std::find_if(usable.begin(), usable.end(),
                                  [](const Candidates& group) { return !group.empty(); });
  return first == usable.end() ? Candidates() : std::move(*first);
}

Candidates permittingNow(Candidates candidates, const EngineLoads& loads) {
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [&](const BackendView* each) {
                                    const auto due = loads.permitDue(each->incarnation);
                                    return due && *due > Duration(0);
                                  }),
                   candidates.end());
  return candidates;
}

BackendChoice choiceWithoutReservation(const BackendView& backend) {
  BackendChoice choice;
  choice.backend = backend;
  choice.pendingTokens = backend.pendingTokens;
  return choice;
}

}  // namespace fernmoor::gateway
