/// @file
/// The candidates among which a back end is chosen, and what all ways of choosing share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "gateway/backend_choice.h"

namespace fernmoor::gateway {

using Candidates = std::vector<const BackendView*>;

/// Each query costs a round trip to another node.
inline constexpr size_t kMaxHomesQueried = 3;
/// Bound in tokens that counts a request however many tokens wait.
inline constexpr uint64_t kNoBound = std::numeric_limits<uint64_t>::max();

/// @return the candidates that were not tried and are not resting, from the best class that has
/// any.
Candidates usableCandidates(const std::vector<BackendView>& candidates,
                            const ChoiceContext& context);

/// @return the candidates that state no limit or may accept a request now.
Candidates permittingNow(Candidates candidates, const EngineLoads& loads);

BackendChoice choiceWithoutReservation(const BackendView& backend);

}  // namespace fernmoor::gateway
