/// @file
/// Collects the answers of engines' owners to one probe.
#pragma once

#include <functional>
#include <vector>

#include "common/lock_order.h"
#include "engine/engine_life.h"

namespace fernmoor {

/// Probe result of one engine for one prompt.
struct ProbeResult {
  EngineLife life;
  bool known = false;         ///< False if no owner has answered (yet).
  int64_t matchedBlocks = 0;  ///< Leading blocks held, at least; exact to the sample's stride.
  bool doubtful = false;      ///< Known only from before a gap in the engine's events.
};

/// The answers received so far to one probe. Thread-safe.
class ProbeWaiter {
 public:
  /// Called once, on the thread that completes the answers, with no lock held.
  using CompletionHandler = std::function<void()>;

  /// @param results one per engine probed, with what is known already.
  /// @param owners number of owners whose answers are pending.
  ProbeWaiter(std::vector<ProbeResult> results, size_t owners)
      : results_(std::move(results)), pendingOwners_(owners) {}

  /// @return what is known by now, in the order of the engines probed.
  std::vector<ProbeResult> results() const;
  /// @return true once every owner that was asked has answered.
  bool isComplete() const;
  /// Sets the handler; it is called at once if the answers are complete already.
  void onComplete(CompletionHandler handler);

  /// Adds one owner's answer; called by ProbeRole.
  void add(const std::vector<ProbeResult>& answers);

 private:
  mutable RankedMutex mutex_{LockRank::kRequests};
  std::vector<ProbeResult> results_;
  size_t pendingOwners_;
  CompletionHandler handler_;
};

}  // namespace fernmoor
