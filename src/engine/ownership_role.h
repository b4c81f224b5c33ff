/// @file
/// Which node owns which engine: every engine has one owner and one warm second among the alive
/// nodes of its zone, by rendezvous hashing over the members, so that nobody needs to be asked.
/// Ownership is advisory: two nodes that both think they own an engine make views less exact and
/// nothing worse. Orders to engines need a lease besides, see engine_lease.h and docs/OWNERSHIP.md.
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

/// Who looks after one engine.
struct EngineOwners {
  std::optional<NodeId> owner;   ///< None where no node is alive.
  std::optional<NodeId> second;  ///< Follows the engine too, to take over at once.
  friend bool operator==(const EngineOwners& a, const EngineOwners& b) {
    return a.owner == b.owner && a.second == b.second;
  }
};

/// What this node has to do with an engine.
enum class OwnershipDuty { kNone, kOwner, kSecond };

/// Sends and takes no messages: the assignment follows from the members alone. Thread-safe.
class OwnershipRole : public Role {
 public:
  /// @param membership outlives the role.
  OwnershipRole(const MembershipView& membership, const Knobs& knobs);

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  /// Takes up changes of the members.
  void onTick(Time now, MessageSender& sender) override;

  /// Takes the engines of the platform's machine list. Leaving ones keep their owner until they are
  /// gone from it.
  void setEngines(const std::vector<EngineAddress>& engines);

  /// @return who looks after the engine; nobody where it is not known.
  EngineOwners ownersOf(const EngineId& engine) const;
  std::optional<NodeId> ownerOf(const EngineId& engine) const { return ownersOf(engine).owner; }
  /// @return what this node has to do with the engine.
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
