/// @file
/// Which node owns which engine: every engine has one owner and one warm second among the alive
/// nodes of its zone, by rendezvous hashing over the members, so that no messages are needed.
/// Ownership is advisory: two nodes that both think they own an engine only make views
/// less exact. Orders to engines also need a lease, see engine_lease.h and docs/OWNERSHIP.md.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "common/role.h"
#include "engine/engine_directory.h"
#include "membership/member.h"

namespace fernmoor {

/// The nodes responsible for one engine.
struct EngineOwners {
  std::optional<NodeId> owner;   ///< None if no node is alive.
  std::optional<NodeId> second;  ///< Warm standby: tracks the engine too, to take over at once.
  friend bool operator==(const EngineOwners& a, const EngineOwners& b) {
    return a.owner == b.owner && a.second == b.second;
  }
};

/// This node's responsibility for an engine.
enum class OwnershipDuty { kNone, kOwner, kSecond };

/// Sends and handles no messages: the assignment follows from the members alone. Thread-safe.
class OwnershipRole : public Role {
 public:
  /// @param membership outlives the role.
  OwnershipRole(const MembershipView& membership, const Knobs& knobs);

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  /// Applies membership changes.
  void onTick(Time now, MessageSender& sender) override;

  /// Sets the engines from the platform's machine list. Leaving ones keep their owner until they
  /// are removed from it.
  void setEngines(const std::vector<EngineAddress>& engines);

  /// @return the nodes responsible for the engine; none if the engine is unknown.
  EngineOwners ownersOf(const EngineId& engine) const;
  std::optional<NodeId> ownerOf(const EngineId& engine) const { return ownersOf(engine).owner; }
  /// @return this node's responsibility for the engine.
  OwnershipDuty dutyFor(const EngineId& engine) const;
  /// @return the engines that this node owns or seconds, by name.
  std::vector<EngineId> enginesWithDuty(OwnershipDuty duty) const;

 private:
  struct Assignment {
    ZoneId zone;
    EngineOwners owners;
  };
  struct AliveNode {
    NodeId node;
    ZoneId zone;
    friend bool operator==(const AliveNode& a, const AliveNode& b) {
      return a.node == b.node && a.zone == b.zone;
    }
  };

  void assignAll();
  EngineOwners chooseOwners(const EngineId& engine, const ZoneId& zone) const;
  OwnershipDuty dutyOf(const EngineOwners& owners) const;

  const MembershipView& membership_;
  const Knobs knobs_;
  mutable RankedMutex mutex_{LockRank::kEngines};
  NodeId self_;
  Time nextRefresh_;
  std::vector<AliveNode> alive_;
  std::map<EngineId, Assignment> assignments_;
};

}  // namespace fernmoor
