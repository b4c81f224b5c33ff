/// @file
/// What the table role knows of the other nodes: who they are and which version each has in force.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "common/random.h"
#include "membership/member.h"

namespace fernmoor {

/// Which peers to choose from.
enum class PeerScope { kOwnZone, kOtherZones, kAll };

/// Bookkeeping of peers and their versions. Not thread-safe.
class TablePeers {
 public:
  /// Takes the member list; peers that left it are forgotten.
  void refresh(const std::vector<Member>& members, const Member& self);
  /// Notes what a peer itself said.
  void note(NodeId peer, TableVersion version) { versions_[peer] = version; }
  /// Notes what was heard of a peer by way of others; an older word changes nothing.
  void noteHearsay(NodeId peer, TableVersion version);

  /// @return the highest version known at any peer.
  TableVersion highest() const;
  /// Chooses at random a peer known to have at least the version: an alive one of this zone if
  /// there is one, else an alive one elsewhere, else any.
  /// @param avoided is chosen only if there is no other.
  std::optional<NodeId> chooseWith(TableVersion atLeast, NodeId avoided, Random& random) const;
  /// @return whether the peer is known to have at least the version.
  bool has(NodeId peer, TableVersion atLeast) const;
  /// @return up to `count` random peers that aren't known to have the version.
  std::vector<NodeId> sampleLacking(TableVersion version, size_t count, PeerScope scope,
                                    Random& random) const;
  /// @return up to `count` random peers.
  std::vector<NodeId> sample(size_t count, PeerScope scope, Random& random) const;
  /// @return whether there is any peer in the scope.
  bool any(PeerScope scope) const;
  size_t size() const { return peers_.size(); }

 private:
  struct Peer {
    NodeId node;
    bool alive;
    bool sameZone;
    bool isIn(PeerScope scope) const;
  };
  TableVersion versionOf(NodeId peer) const;

  std::vector<Peer> peers_;
  std::unordered_map<NodeId, TableVersion> versions_;
};

}  // namespace fernmoor
