/// @file
/// The platform's list of machines, spread between nodes: a node that restarts while the platform
/// is away learns from a peer where engines and application engines are. Peers are asked only while
/// the own list is stale, and send it only where it differs.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "common/random.h"
#include "common/role.h"
#include "machine_list.pb.h"
#include "membership/member.h"
#include "objectstore/object_store_client.h"

namespace fernmoor {

/// Thread-safe. A list is a hint: it names machines to ask and never makes one alive or dead.
class MachineListRole : public Role {
 public:
  /// Called with each list that differs from the one before, without a lock.
  using Listener = std::function<void(const std::vector<Machine>&)>;

  /// @param membership outlives the role.
  MachineListRole(const MembershipView& membership, Listener listener, const Knobs& knobs,
                  uint64_t seed);

  /// Takes a list that this node read from the platform.
  void onRead(const std::vector<Machine>& machines, Time now);
  /// @return time since somebody read the list that is in use here; none without a list.
  std::optional<Duration> age(Time now) const;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  void onRequest(NodeId from, const proto::MachineListRequest& request, Time now,
                 MessageSender& sender);
  void onReply(const proto::MachineListReply& reply, Time now);
  bool isStale(Time now) const;
  void take(const std::vector<Machine>& machines, uint64_t digest, Time readAt);

  const MembershipView& membership_;
  const Listener listener_;
  const Knobs knobs_;
  mutable RankedMutex mutex_{LockRank::kMembership};
  Random random_;
  std::vector<Machine> machines_;
  uint64_t digest_ = 0;  ///< 0: no list yet.
  Time readAt_;
  Time nextQuestion_;
};

}  // namespace fernmoor
