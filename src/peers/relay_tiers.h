/// @file
/// Tiers of the fan-out tree that distributes the contents of the operators' store: the readers,
/// which read the store, and the relays, which forward what was read.
#pragma once

#include <vector>

#include "membership/membership_snapshot.h"

namespace fernmoor::peers {

/// Upper tiers of the fan-out tree.
struct RelayTiers {
  std::vector<NodeId> readers;  ///< Read the store; in different zones where there are several.
  std::vector<NodeId>
      relays;  ///< Poll the readers and are polled by all other nodes; includes the readers. Sorted
               ///< by the order in which they take over reading if no reader can.
};

/// Prefers nodes with high link bandwidth: a relay forwards what it receives to about sixteen
/// nodes, and a reader transfers the whole table over its link at each read.
/// @return two readers and no further relays in a small deployment; otherwise one relay per zone
///         plus one for every sixteen nodes of it, with a few of the relays as readers.
RelayTiers relayTiers(const MembershipSnapshot& members);

}  // namespace fernmoor::peers
