/// @file
/// What a node knows of another node.
#pragma once

#include <string>
#include <vector>

#include "common/ids.h"
#include "common/role.h"
#include "common/socket_address.h"

namespace fernmoor {

/// Life cycle of a member as others see it. Alive members are given new duties; draining ones
/// finish what they have; suspect ones are asked last; dead ones are forgotten after a while.
enum class MemberState { kAlive, kSuspect, kDraining, kDead };

struct Member {
  NodeLife life;
  ZoneId zone;
  RegionId region;
  SocketAddress peerAddress;  ///< UDP and TCP port of node-to-node messages.
  SocketAddress httpAddress;  ///< Callers' and operators' port.
  MemberState state = MemberState::kAlive;
  TableVersion tableVersion;     ///< Last version known to be in force there.
  uint32_t linkMegabits = 0;     ///< Bandwidth of its own link in Mbit/s; 0: unknown.
  bool reachesNoEngine = false;  ///< It stated that it is partitioned from all engines.
};

/// Read access to the members for other modules. Thread-safe.
class MembershipView {
 public:
  virtual ~MembershipView() = default;
  /// @return this node itself.
  virtual Member self() const = 0;
  /// @return all members but the dead, this node included, ordered by node id.
  virtual std::vector<Member> members() const = 0;
};

}  // namespace fernmoor
