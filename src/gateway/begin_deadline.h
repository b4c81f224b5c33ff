/// @file
/// By when a stream that waits at its back end has to begin there. The bound of newer weights
/// counts for the first event, not for the send: a back end that is slow, hangs or has much to do
/// may begin long after what was expected. So what has not begun shortly before the bound ends is
/// taken back.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "backends/wanted_weights.h"
#include "common/time.h"

namespace fernmoor::gateway {

/// A back end may take so many times the expected time to the first event: on busy engines
/// estimates are off by half and more.
inline constexpr double kBeginAllowance = 1.5;

/// From the send to the first event, where nobody knows a back end's load.
inline constexpr Duration kUnknownFirstEvent{500000};

/// Not thread-safe; belongs to one request.
class BeginDeadline {
 public:
  /// @param wanted outlives the deadline.
  /// @param requestId by which requests that wait together are spread, so that they are not all
  ///        sent elsewhere at one instant.
  BeginDeadline(const DesiredWeights& wanted, const std::string& requestId);

  /// The request is sent to a back end that holds those weights.
  /// @param showsBegin its answer tells when it begins; what does not is not taken back, as it may
  ///        have begun long ago.
  void start(const std::string& model, uint64_t weights, bool showsBegin);
  /// Its first event came from that back end.
  void noteBegun() { hasBegun_ = true; }
  bool hasBegun() const { return hasBegun_; }
  /// @return when it is to be taken back unless it has begun; nothing: there is no such bound yet.
  ///         Looked up anew each time, as new versions bring it on and outages of the store put it
  ///         off.
  std::optional<Time> takeBackAt() const;
  /// @return whether it must be taken back.
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
