/// @file
/// Enforces rate limits of tenants across all nodes on the request path. A request is admitted from
/// the share of its tenant's limit that this node holds. If that share is used up and the limit is
/// not known to be exhausted, the request waits a few milliseconds for the owner of the limit (see
/// admission/limit_role.h).
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>

#include "admission/limit_role.h"
#include "common/role.h"
#include "envelope.pb.h"
#include "gateway/tenant_limits.h"
#include "membership/membership_snapshot.h"

namespace fernmoor::peers {

/// Membership view of the last snapshot that was set. Thread-safe.
class SnapshotMembers : public MembershipView {
 public:
  explicit SnapshotMembers(NodeId self) { self_.life.node = self; }
  void set(std::shared_ptr<const MembershipSnapshot> snapshot);
  Member self() const override;
  std::vector<Member> members() const override;

 private:
  mutable std::mutex mutex_;
  Member self_;
  std::shared_ptr<const MembershipSnapshot> snapshot_;
};

/// Thread-safe.
class LimitDirectory : public Role, public gateway::TenantLimits {
 public:
  /// @param sender must outlive the directory; used on the threads that call acquire().
  LimitDirectory(NodeId self, const Clock& clock, MessageSender& sender, const Knobs& knobs = {});

  void setMembers(std::shared_ptr<const MembershipSnapshot> members);

  Result<Done> acquire(const gateway::Tenant& tenant, double cost) override;
  void giveBack(const gateway::Tenant& tenant, double cost) override;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

  /// @return number of limits whose owner grants this node less than it asks for.
  size_t shortCount() const { return role_.shortCount(); }
  /// @return fraction of the known nodes that this node can reach.
  double reachableShare() const { return role_.reachableShare(); }
  /// @return number of nodes that share the limits, including those that are absent for now.
  size_t knownNodes() const { return role_.knownNodes(); }
  /// Sets how many live nodes may exist beside the members; they share the limits too.
  void setUnknownNodes(size_t count) { role_.setUnknownNodes(count); }
  size_t unknownNodes() const { return role_.unknownNodes(); }
  /// @return number of these nodes that are among them.
  size_t knownAmong(const std::vector<NodeId>& nodes) const { return role_.knownAmong(nodes); }

 private:
  /// @return false if no answer arrived in time.
  bool awaitAnswer(const RowKey& row);

  const Clock& clock_;
  MessageSender& sender_;
  SnapshotMembers members_;
  LimitRole role_;
  std::mutex mutex_;
  std::condition_variable answered_;
};

}  // namespace fernmoor::peers
