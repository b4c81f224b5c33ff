/// @file
/// Limits of tenants over all nodes on the request path: a request passes on this node's stock of
/// its tenant's limit; where that is used up and the limit isn't known to be short, it waits some
/// milliseconds for the owner of the limit (see admission/limit_role.h).
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

/// The members as of the last snapshot that was set. Thread-safe.
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
  /// @param sender outlives the directory; used on the threads that call acquire().
  LimitDirectory(NodeId self, const Clock& clock, MessageSender& sender, const Knobs& knobs = {});

  void setMembers(std::shared_ptr<const MembershipSnapshot> members);

  Result<Done> acquire(const gateway::Tenant& tenant, double cost) override;
  void giveBack(const gateway::Tenant& tenant, double cost) override;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

  /// @return limits whose owner gives this node less than it wants.
  size_t shortCount() const { return role_.shortCount(); }
  /// @return part of the known nodes that this one can hear of.
  double reachableShare() const { return role_.reachableShare(); }

 private:
  /// @return false where no answer came in time.
  bool awaitAnswer(const RowKey& row);

  const Clock& clock_;
  MessageSender& sender_;
  SnapshotMembers members_;
  LimitRole role_;
  std::mutex mutex_;
  std::condition_variable answered_;
};

}  // namespace fernmoor::peers
