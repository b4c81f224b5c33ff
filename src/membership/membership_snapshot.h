/// @file
/// An immutable picture of the members, cheap to hand to readers on any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "membership/member.h"

namespace fernmoor {

/// Where a node can be reached; also of dead members and of seeds that never answered.
struct NodeAddress {
  NodeId node;
  SocketAddress peerAddress;
};

/// All that readers need, as of one instant. Never changed once published.
struct MembershipSnapshot {
  uint64_t version = 0;  ///< Grows with every published change; equal numbers mean equal contents.
  NodeLife self;
  std::vector<Member> members;         ///< All but the dead, this node included, by node id.
  std::vector<NodeAddress> addresses;  ///< For the transport; by node id.
  TableVersion newestTableVersion;     ///< Highest version known to be in force on any node.
  NodeId newestTableHolder;            ///< A node that reported it; fetch the table from it.

  /// @return the member, or null if it is unknown or dead. Binary search.
  const Member* find(NodeId node) const;
  /// @return the member if it is still in that incarnation, else null.
  const Member* find(NodeLife life) const;
  /// @return the address for messages to the node; nothing if the node is unknown.
  std::optional<SocketAddress> addressOf(NodeId node) const;
  /// @return this node itself.
  const Member& selfMember() const;
};

}  // namespace fernmoor
