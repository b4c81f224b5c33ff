/// @file
/// How requests end, and how many lines each way of ending may write.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "common/log_budget.h"

namespace fernmoor::gateway {

enum class RequestOutcome {
  kDelivered,      ///< The whole answer of a back end.
  kCallerLeft,     ///< The caller left before the end.
  kBrokenOff,      ///< The answer had begun, its back end failed, and it may not go on elsewhere.
  kEngineFailed,   ///< The failure that its back end stated was passed on.
  kNoWholeAnswer,  ///< It may have run; no whole answer came.
  kNoBackend,      ///< It has not run: no back end took it in time.
  kUnverifiedKey,  ///< It has not run: this node cannot prove that the key is still valid.
  kOverLimit,      ///< It has not run: its tenant asks for more than its limit.
  kQuarantined,    ///< It has not run: it crashed several engines before.
  kUnpermitted,    ///< It has not run: all back ends are at their limits, or rest.
  kOldWeights,     ///< Told beside its end: it began on weights that were due to be replaced.
};
inline constexpr size_t kRequestOutcomes = static_cast<size_t>(RequestOutcome::kOldWeights) + 1;

/// @return the phrase of the outcome in the log.
const char* phraseOf(RequestOutcome outcome);

/// Thread-safe.
class OutcomeLog {
 public:
  OutcomeLog();
  /// Asks to write the line of a request.
  /// @param wentWell such lines are written at debug only, where all are wanted.
  /// @return nothing where it must be left out; else how many of the kind were left out before.
  std::optional<uint64_t> take(RequestOutcome outcome, bool wentWell, Time now);

 private:
  std::array<LogBudget, kRequestOutcomes> budgets_;
};

}  // namespace fernmoor::gateway
