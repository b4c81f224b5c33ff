#include "table/table_peers.h"

#include <algorithm>
#include <utility>

namespace fernmoor {

namespace {

/// Keeps a random choice of the nodes, drawn by the first steps of a shuffle.
std::vector<NodeId> keepSample(std::vector<NodeId> nodes, size_t count, Random& random) {
  const size_t kept = std::min(count, nodes.size());
  for (size_t index = 0; index < kept; ++index) {
    std::swap(nodes[index], nodes[index + random.below(nodes.size() - index)]);
  }
  nodes.resize(kept);
  return nodes;
}

}  // namespace

void TablePeers::refresh(const std::vector<Member>& members, const Member& self) {
  peers_.clear();
  std::unordered_map<NodeId, TableVersion> former = std::exchange(versions_, {});
  for (const Member& member : members) {
    if (member.life.node == self.life.node) {
      continue;
    }
    peers_.push_back(
        {member.life.node, member.state == MemberState::kAlive, member.zone == self.zone});
    versions_[member.life.node] = std::max(former[member.life.node], member.tableVersion);
  }
}

void TablePeers::noteHearsay(NodeId peer, TableVersion version) {
  TableVersion& known = versions_[peer];
  known = std::max(known, version);
}

TableVersion TablePeers::versionOf(NodeId peer) const {
  const auto found = versions_.find(peer);
  return found == versions_.end() ? TableVersion() : found->second;
}

bool TablePeers::has(NodeId peer, TableVersion atLeast) const {
  return versionOf(peer) >= atLeast;
}

TableVersion TablePeers::highest() const {
  TableVersion highest;
  for (const auto& entry : versions_) {
    highest = std::max(highest, entry.second);
  }
  return highest;
}

bool TablePeers::Peer::isIn(PeerScope scope) const {
  return scope == PeerScope::kAll || sameZone == (scope == PeerScope::kOwnZone);
}

bool TablePeers::any(PeerScope scope) const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const Peer& peer) { return peer.isIn(scope); });
}

std::optional<NodeId> TablePeers::chooseWith(TableVersion atLeast, NodeId avoided,
                                             Random& random) const {
  std::vector<NodeId> near;
  std::vector<NodeId> far;
  std::vector<NodeId> doubtful;
  for (const Peer& peer : peers_) {
    if (!has(peer.node, atLeast)) {
      continue;
    }
    const bool trusted = peer.alive && peer.node != avoided;
    (!trusted ? doubtful : peer.sameZone ? near : far).push_back(peer.node);
  }
  for (const std::vector<NodeId>* choices : {&near, &far, &doubtful}) {
    if (!choices->empty()) {
      return (*choices)[random.below(choices->size())];
    }
  }
  return std::nullopt;
}

std::vector<NodeId> TablePeers::sampleLacking(TableVersion version, size_t count, PeerScope scope,
                                              Random& random) const {
  std::vector<NodeId> lacking;
  for (const Peer& peer : peers_) {
    if (peer.isIn(scope) && !has(peer.node, version)) {
      lacking.push_back(peer.node);
    }
  }
  return keepSample(std::move(lacking), count, random);
}

std::vector<NodeId> TablePeers::sample(size_t count, PeerScope scope, Random& random) const {
  std::vector<NodeId> chosen;
  for (const Peer& peer : peers_) {
    if (peer.isIn(scope)) {
      chosen.push_back(peer.node);
    }
  }
  return keepSample(std::move(chosen), count, random);
}

}  // namespace fernmoor
