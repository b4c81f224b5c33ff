#include "membership/membership_snapshot.h"

#include <algorithm>
#include <cassert>

namespace fernmoor {

const Member* MembershipSnapshot::find(NodeId node) const {
  const auto found =
      std::lower_bound(members.begin(), members.end(), node,
                       [](const Member& member, NodeId id) { return member.life.node < id; });
  return found != members.end() && found->life.node == node ? &*found : nullptr;
}

const Member* MembershipSnapshot::find(NodeLife life) const {
  const Member* const member = find(life.node);
  return member != nullptr && member->life == life ? member : nullptr;
}

std::optional<SocketAddress> MembershipSnapshot::addressOf(NodeId node) const {
  const auto found =
      std::lower_bound(addresses.begin(), addresses.end(), node,
                       [](const NodeAddress& entry, NodeId id) { return entry.node < id; });
  if (found == addresses.end() || found->node != node) {
    return std::nullopt;
  }
  return found->peerAddress;
}

const Member& MembershipSnapshot::selfMember() const {
  const Member* const member = find(self.node);
  assert(member != nullptr);
  return *member;
}

}  // namespace fernmoor
