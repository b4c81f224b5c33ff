/// @file
/// Tests of src/gateway/peer_choice.h and src/gateway/peer_path.h.
#include "gateway/peer_choice.h"

#include <doctest/doctest.h>

#include <map>

#include "gateway/peer_path.h"
#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway {

using namespace test;

namespace {

PeerNode node(uint32_t id, const std::string& zone, bool reachesEngines = true) {
  return PeerNode{NodeId(id), SocketAddress{"127.0.0.1", static_cast<uint16_t>(id)}, zone,
                  reachesEngines};
}

/// @return how often each node is chosen in 10,000 choices.
std::map<uint32_t, int> choices(const std::vector<PeerNode>& others) {
  Random random(7);
  std::map<uint32_t, int> chosen;
  for (int count = 0; count < 10000; ++count) {
    if (const auto peer = choosePeer(others, "a", {}, random)) {
      ++chosen[peer->id.value()];
    }
  }
  return chosen;
}

}  // namespace

TEST_CASE("a request is handed on only by a node that does not reach engines") {
  PeerQuestion question;
  CHECK_FALSE(goesByPeer(question));
  question.reach = ReachState::kPartitioned;
  CHECK(goesByPeer(question));

  SUBCASE("and never a second time") {
    question.cameFromPeer = true;
    CHECK_FALSE(goesByPeer(question));
  }
  SUBCASE("to a few nodes at most") {
    question.peersTried = kMaxPeersTried;
    CHECK_FALSE(goesByPeer(question));
  }
  SUBCASE("and while established connections live on only if none could be had") {
    question.reach = ReachState::kNoNewConnections;
    CHECK_FALSE(goesByPeer(question));
    question.unreached = 1;
    CHECK(goesByPeer(question));
  }
}

TEST_CASE("requests of a partitioned node spread over the nodes of its zone") {
  std::vector<PeerNode> others;
  for (uint32_t id = 1; id <= 10; ++id) {
    others.push_back(node(id, id <= 5 ? "a" : "b"));
  }
  const std::map<uint32_t, int> chosen = choices(others);
  CHECK(chosen.size() == 5);
  for (const auto& [id, count] : chosen) {
    CHECK(id <= 5);
    CHECK(count > 1800);
    CHECK(count < 2200);
  }
}

TEST_CASE("the few nodes left of a partitioned zone do not carry all of it") {
  std::vector<PeerNode> others;
  for (uint32_t id = 1; id <= 300; ++id) {
    const bool isInZone = id <= 99;
    others.push_back(node(id, isInZone ? "a" : "b", !isInZone || id == 1));
  }
  const std::map<uint32_t, int> chosen = choices(others);
  CHECK(chosen.size() > 195);
  CHECK(chosen.at(1) < 150);
}

TEST_CASE("nodes that reach no engine are not chosen") {
  CHECK(choices({node(1, "a", false), node(2, "b", false)}).empty());
  const std::map<uint32_t, int> chosen = choices({node(1, "a", false), node(2, "b")});
  CHECK(chosen.at(2) == 10000);
  CHECK(choices({}).empty());
}

TEST_CASE("a node that did not take a request is avoided for a while") {
  TestNodes nodes;
  nodes.listed = {node(1, "a"), node(2, "a")};
  TestPeerProtocol protocol;
  PeerPath path(nodes, protocol, ConnectOptions{}, "a", 1);
  const Time start = SystemClock().now();
  path.avoid(NodeId(1), start);
  for (int count = 0; count < 20; ++count) {
    CHECK(path.choose({}, start)->id == NodeId(2));
  }
  CHECK_FALSE(path.choose({NodeId(2)}, start));
  CHECK(path.choose({NodeId(2)}, start + std::chrono::milliseconds(1001))->id == NodeId(1));
}

}  // namespace fernmoor::gateway
