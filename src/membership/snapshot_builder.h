/// @file
/// Makes the picture of the members that readers get.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "membership/member_table.h"
#include "membership/membership_snapshot.h"
#include "membership/synchronizer.h"
#include "membership/version_spread.h"

namespace fernmoor {

/// @param version number of the snapshot.
std::shared_ptr<const MembershipSnapshot> buildSnapshot(uint64_t version, const MemberTable& table,
                                                        const VersionSpread& versions,
                                                        const std::vector<Seed>& seeds);

}  // namespace fernmoor
