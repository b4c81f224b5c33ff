/// @file
/// How many members are in each state, for the measures of a node.
#pragma once

#include "common/metrics.h"
#include "membership/membership_snapshot.h"

namespace fernmoor {

/// @return the members of each state; the dead are not in a snapshot and count as none.
MemberCounts countMembers(const MembershipSnapshot& snapshot);

}  // namespace fernmoor
