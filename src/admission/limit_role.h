/// @file
/// Distributed row limits. Each row has one owner among the live nodes, chosen by rendezvous
/// hashing, which grants tokens and places (concurrency slots) to the nodes that ask. A node
/// exchanges a few messages per second for each row that it uses, and none for other rows.
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
  /// @param membership must outlive the role; read only in onTick().
  LimitRole(const MembershipView& membership, const Knobs& knobs);

  /// Admits a request even before the owner answers, up to a bounded debt.
  Result<Done> tryAcquire(const RowLimits& limits, double cost, Time now) override;
  /// Admits a request only on tokens that this node holds.
  Result<Done> tryAcquireWithoutDebt(const RowLimits& limits, double cost, Time now);
  void release(const RowKey& row, Time now) override;
  /// Returns the tokens of a request that did not run after all.
  void refund(const RowKey& row, double cost);
  /// Asks the row's owner immediately instead of on the next tick.
  /// @param needed cost of the request that waits for the answer.
  /// @return false if the row has no owner, so that no answer will come.
  bool askNow(const RowKey& row, double needed, Time now, MessageSender& sender);
  /// @return whether the latest question about the row is still unanswered.
  bool awaitsAnswer(const RowKey& row) const;
  /// @return the number of rows whose owner last granted this node fewer tokens than it requested.
  size_t shortCount() const;
  /// @return the fraction of the nodes that share the limits that are live, as seen by this node.
  double reachableShare() const;
  /// @return the number of nodes that share the limits: this one, those that are live, and those
  ///         that vanished lately without leaving or may exist unknown to this node.
  size_t knownNodes() const;
  /// Sets how many live nodes may exist beside those that the membership shows. They share the
  /// limits as nodes that vanished do; vanished nodes may be among them.
  void setUnknownNodes(size_t count);
  size_t unknownNodes() const;
  /// @return the number of these nodes that are among the known ones.
  size_t knownAmong(const std::vector<NodeId>& nodes) const;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  /// A node that has been live and is not known to have left.
  struct KnownNode {
    uint64_t hash = 0;
    Time seenAt;
    bool live = false;
  };

  void updateNodes(const std::vector<Member>& members, NodeId self, Time now);
  std::optional<NodeId> ownerOf(const RowKey& row) const;
  /// Answers questions about rows that this node owns.
  /// @return the remaining questions, grouped by the owner of their row.
  std::map<NodeId, std::vector<LimitDemand>> questionsToOthers(std::vector<LimitDemand> due,
                                                               Time now);
  OwnerContext ownerContext(Time now) const;
  void sendQuestions(const std::map<NodeId, std::vector<LimitDemand>>& questions,
                     MessageSender& sender) const;
  /// Applies the owner's answer. Logs one line if the row becomes short of tokens or recovers.
  void applyGrant(const LimitGrant& grant, Time now);
  void answerOwnedRows(const std::vector<LimitDemand>& questions, Time now);
  void onQuestion(NodeLife from, const proto::LimitQuestion& question, Time now,
                  MessageSender& sender);
  void onAnswer(NodeLife from, const proto::LimitAnswer& answer, Time now);

  const MembershipView& membership_;
  const Knobs knobs_;
  mutable RankedMutex mutex_{LockRank::kRouting};
  NodeLife self_;
  std::optional<Time> startedAt_;  ///< Time of the first tick.
  std::map<NodeId, KnownNode> nodes_;
  size_t unknownNodes_ = 0;      ///< Live nodes that may exist beside the known ones.
  size_t sharingNodes_ = 1;      ///< Nodes that share the limits.
  double reachableShare_ = 1.0;  ///< Fraction of these that are live.
  DistributedLimiter limiter_;
  LimitOwner owner_;
  LogBudget shortLog_;
};

}  // namespace fernmoor
