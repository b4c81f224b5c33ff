/// @file
/// Limits of rows over all nodes: each row has one owner among the live nodes (rendezvous hashing),
/// which gives tokens and places to the nodes that ask. A few messages a second for each row that
/// is in use here, none for the others.
#pragma once

#include <map>

#include "admission/distributed_limiter.h"
#include "admission/limit_owner.h"
#include "admission/row_limiter.h"
#include "common/lock_order.h"
#include "common/role.h"
#include "membership/member.h"

namespace fernmoor {

/// Thread-safe. As a RowLimiter it may be called under the admission lock.
class LimitRole : public Role, public RowLimiter {
 public:
  /// @param membership outlives the role; read on ticks only.
  LimitRole(const MembershipView& membership, const Knobs& knobs);

  Result<Done> tryAcquire(const RowLimits& limits, Time now) override;
  void release(const RowKey& row, Time now) override;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  /// A node that was live once and is not known to have left.
  struct KnownNode {
    uint64_t hash = 0;
    Time seenAt;
    bool live = false;
  };

  void updateNodes(const std::vector<Member>& members, NodeId self, Time now);
  std::optional<NodeId> ownerOf(const RowKey& row) const;
  double reachableShare() const;
  std::map<NodeId, std::vector<LimitDemand>> questionsByOwner(Time now);
  void answerOwn(const std::vector<LimitDemand>& questions, Time now);
  void onQuestion(NodeLife from, const proto::LimitQuestion& question, Time now,
                  MessageSender& sender);
  void onAnswer(NodeLife from, const proto::LimitAnswer& answer, Time now);

  const MembershipView& membership_;
  const Knobs knobs_;
  mutable RankedMutex mutex_{LockRank::kRouting};
  NodeLife self_;
  std::map<NodeId, KnownNode> nodes_;
  DistributedLimiter limiter_;
  LimitOwner owner_;
};

}  // namespace fernmoor
