#include "membership/member_counts.h"

namespace fernmoor {

MemberCounts countMembers(const MembershipSnapshot& snapshot) {
  MemberCounts counts;
  for (const Member& member : snapshot.members) {
    counts.alive += member.state == MemberState::kAlive ? 1 : 0;
    counts.suspect += member.state == MemberState::kSuspect ? 1 : 0;
    counts.draining += member.state == MemberState::kDraining ? 1 : 0;
  }
  return counts;
}

}  // namespace fernmoor
