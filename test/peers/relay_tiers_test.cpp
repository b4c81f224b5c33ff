/// @file
/// Tests of src/peers/relay_tiers.h; mirror_role_test.cpp tests how the tiers work together.
#include "peers/relay_tiers.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

namespace fernmoor::peers {

TEST_CASE("nodes with high link bandwidth become readers and relays") {
  constexpr uint32_t kNarrow = 10;
  constexpr uint32_t kWide = 200;
  constexpr uint64_t kNodes = 79;
  MembershipSnapshot members;
  std::set<NodeId> wide;
  for (uint64_t id = 1; id <= kNodes; ++id) {
    Member member;
    member.life.node = NodeId(id);
    member.zone = ZoneId(std::to_string(id % 3));
    member.linkMegabits = id <= 6 ? kWide : kNarrow + id % 3;
    members.members.push_back(member);
    if (member.linkMegabits == kWide) {
      wide.insert(NodeId(id));
    }
  }
  const RelayTiers tiers = relayTiers(members);
  CHECK(std::set<NodeId>(tiers.relays.begin(), tiers.relays.end()) == wide);
  CHECK(tiers.readers.size() == 3);
}

}  // namespace fernmoor::peers
