/// @file
/// Outcomes of requests, and the log budget of each outcome.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "common/log_budget.h"

namespace fernmoor::gateway {

enum class RequestOutcome {
  kDelivered,      ///< A complete answer of a back end.
  kCallerLeft,     ///< The caller disconnected before the end.
  kNotRead,        ///< The caller did not read the answer and was given up.
  kBrokenOff,      ///< The answer had begun, its back end failed, and no other one may continue.
  kEngineFailed,   ///< The error answer of its back end was forwarded.
  kNoWholeAnswer,  ///< It may have run; no complete answer arrived.
  kNoBackend,      ///< It has not run: no back end accepted it in time.
  kUnverifiedKey,  ///< It has not run: this node cannot verify that the key is still valid.
  kOverLimit,      ///< It has not run: its tenant exceeds its limit.
  kQuarantined,    ///< It has not run: it crashed several engines and is quarantined.
  kUnpermitted,    ///< It has not run: all back ends are at their limits or resting.
  kOldWeights,     ///< Logged in addition to its end: it began on outdated weights.
};
inline constexpr size_t kRequestOutcomes = static_cast<size_t>(RequestOutcome::kOldWeights) + 1;

/// @return the log message for the outcome.
const char* phraseOf(RequestOutcome outcome);

/// Thread-safe.
class OutcomeLog {
 public:
  OutcomeLog();
  /// Requests budget for the log line of a request.
  /// @param wentWell the request succeeded in time; such lines are logged at debug level only and
  ///        are not limited.
  /// @return std::nullopt if the line must be dropped; else the number of lines of this outcome
  ///         that were dropped before it.
  std::optional<uint64_t> take(RequestOutcome outcome, bool wentWell, Time now);

 private:
  std::array<LogBudget, kRequestOutcomes> budgets_;
};

}  // namespace fernmoor::gateway
