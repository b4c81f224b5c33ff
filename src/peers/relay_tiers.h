/// @file
/// Which nodes read the operators' store, and which pass on what was read.
#pragma once

#include <vector>

#include "membership/membership_snapshot.h"

namespace fernmoor::peers {

/// Who reads the store, and who passes on what was read.
struct RelayTiers {
  std::vector<NodeId> readers;  ///< Read the store; in different zones where there are several.
  std::vector<NodeId> relays;   ///< Ask the readers and are asked by the others; readers included.
                                ///< In the order in which they read where no reader can.
};

/// Nodes with wide links come first: a relay sends what it learns to some sixteen others, and a
/// reader takes the whole table over its link at each read.
/// @return two readers and no further relays in a small deployment; else one relay of each zone and
///         one more for every sixteen nodes of it, a few of which read.
RelayTiers relayTiers(const MembershipSnapshot& members);

}  // namespace fernmoor::peers
