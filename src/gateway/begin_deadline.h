/// @file
/// Deadline by which a stream that is queued at its back end has to begin there. The bound after
/// which only newer weights may be used applies to the first event, not to the send: a back end
/// that is slow, hangs or is loaded may begin much later than expected. A request that has not
/// begun shortly before the bound is therefore withdrawn.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "backends/wanted_weights.h"
#include "common/time.h"

namespace fernmoor::gateway {

/// Allowed multiple of the expected time to the first event: on busy engines estimates are off by
/// half or more.
inline constexpr double kBeginAllowance = 1.5;

/// Assumed time from the send to the first event if the load of a back end is unknown (500 ms).
inline constexpr Duration kUnknownFirstEvent{500000};

/// Not thread-safe; owned by one request.
class BeginDeadline {
 public:
  /// @param wanted outlives the deadline.
  /// @param requestId determines the request's offset in the spread, so that requests waiting
  ///        together are not all retried at the same instant.
  BeginDeadline(const DesiredWeights& wanted, const std::string& requestId);

  /// Starts an attempt at a back end that holds these weights.
  /// @param showsBegin whether the answer shows when the request begins. If not, the request is
  ///        never withdrawn, as it may have begun long ago.
  void start(const std::string& model, uint64_t weights, bool showsBegin);
  /// Records that the first event arrived from that back end.
  void noteBegun() { hasBegun_ = true; }
  bool hasBegun() const { return hasBegun_; }
  /// @return when the request has to be withdrawn; std::nullopt if it has begun, does not show its
  ///         begin, or no bound exists yet. Computed on each call, as new versions create the bound
  ///         and outages of the store postpone it.
  std::optional<Time> withdrawAt() const;
  /// @return whether the request must be withdrawn now.
  bool isOver(Time now) const;

 private:
  const DesiredWeights& wanted_;
  const Duration spread_;
  std::string model_;
  uint64_t weights_ = 0;
  bool showsBegin_ = false;
  bool hasBegun_ = false;
};

}  // namespace fernmoor::gateway
