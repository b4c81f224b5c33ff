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
#include "common/log_budget.h"
#include "common/role.h"
#include "membership/member.h"

namespace fernmoor {

/// Thread-safe. As a RowLimiter it may be called under the admission lock.
class LimitRole : public Role, public RowLimiter {
 public:
  /// @param membership outlives the role; read on ticks only.
  LimitRole(const MembershipView& membership, const Knobs& knobs);

  /// Lets a request pass also ahead of the owner's answer.
  Result<Done> tryAcquire(const RowLimits& limits, double cost, Time now) override;
  /// Lets a request pass on what this node holds.
  Result<Done> tryAcquireHeld(const RowLimits& limits, double cost, Time now);
  void release(const RowKey& row, Time now) override;
  /// The request did not run after all: what it cost may be spent again.
  void giveBack(const RowKey& row, double cost);
  /// Asks the row's owner at once, instead of on the next tick.
  /// @param needed cost of the request that waits for the answer.
  /// @return whether there is an owner to wait for.
  bool askNow(const RowKey& row, double needed, Time now, MessageSender& sender);
  /// @return whether a question about the row has no answer yet.
  bool awaitsAnswer(const RowKey& row) const;
  /// @return rows whose owner gives this node less than it wants.
  size_t shortCount() const;
  /// @return part of the known nodes that this one can hear of.
  double reachableShare() const;

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
  /// Answers those about rows of its own. @return the others by the rows' owners.
  std::map<NodeId, std::vector<LimitDemand>> questionsToOthers(std::vector<LimitDemand> due,
                                                               Time now);
  OwnerSituation situation(Time now) const;
  void sendQuestions(const std::map<NodeId, std::vector<LimitDemand>>& questions,
                     MessageSender& sender) const;
  /// Takes the owner's answer; one log line where a row becomes short, or whole again.
  void takeGrant(const LimitGrant& grant, Time now);
  void answerOwn(const std::vector<LimitDemand>& questions, Time now);
  void onQuestion(NodeLife from, const proto::LimitQuestion& question, Time now,
                  MessageSender& sender);
  void onAnswer(NodeLife from, const proto::LimitAnswer& answer, Time now);

  const MembershipView& membership_;
  const Knobs knobs_;
  mutable RankedMutex mutex_{LockRank::kRouting};
  NodeLife self_;
  std::optional<Time> startedAt_;  ///< Of the first tick.
  std::map<NodeId, KnownNode> nodes_;
  double reachableShare_ = 1.0;  ///< Part of the known nodes that are live.
  DistributedLimiter limiter_;
  LimitOwner owner_;
  LogBudget shortLog_;
};

}  // namespace fernmoor
