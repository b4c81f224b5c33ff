/// @file
/// Thread-safe access to the claims of a node: the replica and the coordinator behind one lock,
/// with outcomes as futures.
#pragma once

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <vector>

#include "claim/claim_coordinator.h"
#include "claim/claim_replica.h"
#include "common/lock_order.h"
#include "common/role.h"

namespace fernmoor {

/// A begin() whose outcome is pending.
struct PendingClaim {
  ClaimTicket ticket;
  std::future<ClaimOutcome> outcome;
};

/// Thread-safe. Messages of the claim role and ticks are passed in by the node; begin(),
/// complete() and release() may come from any thread. No lock is held while a future is set.
class ClaimService : public Role {
 public:
  /// @param wallMicrosecondsAtZero wall clock minus monotonic clock, in microseconds.
  ClaimService(NodeLife self, int64_t wallMicrosecondsAtZero, const Knobs& knobs, uint64_t seed);

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

  /// Applies a newer group configuration; see ClaimReplica::setGroupConfiguration().
  void setGroupConfiguration(const GroupConfiguration& configuration, Time now,
                             MessageSender& sender);

  /// Starts to claim a key. The outcome is set within the claim timeout, provided that onTick() is
  /// called.
  PendingClaim begin(const ClaimKey& key, uint64_t digest, Time now, MessageSender& sender);
  /// Records the answer of a granted request.
  /// @return whether a majority stores it; set at the latest after the release time.
  std::future<bool> complete(ClaimTicket ticket, const ClaimAnswer& answer, Time now,
                             MessageSender& sender);
  /// Releases a claim, granted or still pending; see ClaimCoordinator::release(). A future that is
  /// not ready by then gets a broken promise.
  void release(ClaimTicket ticket, Time now, MessageSender& sender);

  ClaimReplicaStatus status() const;

 private:
  class LoopbackSender;

  /// Runs a step under the lock, delivers messages to this node, and then sets the futures.
  void run(Time now, MessageSender& sender, const std::function<void(MessageSender&)>& step);
  void dispatch(const NodeLife& from, const proto::Envelope& envelope, Time now,
                MessageSender& sender);

  NodeLife self_;
  mutable RankedMutex mutex_{LockRank::kClaims};
  ClaimReplica replica_;
  ClaimCoordinator coordinator_;
  std::map<ClaimTicket, std::promise<ClaimOutcome>> claims_;
  std::map<ClaimTicket, std::promise<bool>> completions_;
};

}  // namespace fernmoor
