/// @file
/// Finds nodes that the seeds do not lead to, and tells whether there may be any.
///
/// Each group of nodes that know each other keeps at least one of its nodes in the registry (see
/// node_registry.h). The nodes that read the store look at it every few seconds, and a node that
/// knows no other one about every second. Registered nodes that are not members are contacted, so
/// that groups merge. In a fleet at rest nothing is written, whatever its size.
///
/// A node that knows no other one may still not be the only one: it may have been restarted while
/// all its seeds were down, or inside a network partition. Whoever owns a limit there would grant
/// all of it, beside the owner of each other group. The node therefore challenges the other groups:
/// it stamps its entry and waits until every group that reaches the store must have seen this and
/// stamped its own entry in response. Until then, and for as long as other groups are alive but out
/// of reach, it reports nodes that it does not know. A group that does not reach the store admits
/// no tenant's requests for long, because it cannot prove that its table is current. A newly
/// started node that reads the store for a group challenges once too.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "membership/membership_snapshot.h"
#include "peers/node_registry.h"

namespace fernmoor::peers {

/// Not thread-safe.
class NodeDiscovery {
 public:
  /// Nodes in the registry at most. Enough that some are left after most nodes were lost at once.
  static constexpr size_t kMaxRegistered = 16;
  /// Minimum time between two stamps in response to those of others.
  static constexpr Duration kStampInterval{2000000};

  /// Pause after a first write that met another node's.
  static constexpr Duration kConflictPause{200000};

  /// @param self address of this node for messages between nodes.
  /// @param store must outlive the object.
  NodeDiscovery(SocketAddress self, const Clock& clock, NodeRegistryStore& store, uint64_t seed);

  /// Reads and writes the registry if this is due; blocks until the store responds.
  /// @param followsStore whether this node reads the store for others.
  /// @param storeAnswers whether the store answered the last read of the table; if it did not, it
  /// is
  ///        asked for nothing else.
  /// @return whether the strangers are to be contacted now.
  bool step(const MembershipSnapshot& members, bool followsStore, bool storeAnswers);
  /// @return registered nodes that were no members at the last step.
  const std::vector<SocketAddress>& strangers() const { return strangers_; }
  /// @return the number of live nodes that may exist beside the members: of other groups that are
  ///         alive but not reached; 1 while this node is alone and the store has not confirmed that
  ///         it is the only one; else 0.
  size_t unknownNodes() const;
  /// @return whether no other member was known at the last step.
  bool isAlone() const { return isAlone_; }

 private:
  /// What earlier reads showed of a registered node.
  struct Sighting {
    uint64_t stamp = 0;
    size_t members = 1;
    uint32_t group = 0;
    /// When the entry was seen to appear or change; none if it was there at the first read.
    std::optional<Time> changedAt;
    Time silentSince;  ///< Last time at which it was a member or its entry changed.
  };

  void noteWhetherAlone(const MembershipSnapshot& members, Time now);
  void noteMembers(const MembershipSnapshot& members);
  /// Compares the registry with the one read before.
  /// @return whether a node that is no member showed a sign of life.
  bool noteRegistry(const NodeRegistry& registry, Time now);
  /// Decides whether the store has confirmed that this node is the only one.
  void updateConfirmation(Time now);
  /// @return whether this node has to stamp its entry so that other groups show that they live.
  bool needsChallenge(Time now) const;
  uint32_t ownGroup() const;
  void writeIfDue(const NodeRegistry& registry, Time now);
  NodeRegistry updated(const NodeRegistry& registry, bool stampsSelf, Time now) const;
  bool isMember(const SocketAddress& address) const;
  bool isForgotten(const RegisteredNode& node, Time now) const;

  const SocketAddress self_;
  const Clock& clock_;
  NodeRegistryStore& store_;
  Random random_;
  std::vector<SocketAddress> alive_;           ///< Live members by address, this node first.
  std::vector<SocketAddress> present_;         ///< All members but the dead.
  std::map<std::string, Sighting> sightings_;  ///< By address.
  std::vector<SocketAddress> strangers_;
  bool isAlone_ = true;
  bool isReading_ = true;  ///< This node reads the registry, as of the last step.
  std::optional<Time> firstReadAt_;
  std::optional<Time> challengedAt_;  ///< When this node stamped its entry as a challenge.
  bool owesResponse_ = false;         ///< Another group showed that it lives since the last stamp.
  bool isConfirmed_ = false;          ///< The store confirmed that this node is the only one.
  Time nextReadAt_;
  std::optional<Time> stampedAt_;
  /// Minimum time between two stamps that challenge nobody. Grows while other nodes take this one's
  /// place in the registry, as where many nodes reach the store but not each other.
  Duration stampInterval_ = kStampInterval;
  std::optional<Time> writtenAt_;
  Duration conflictPause_ = kConflictPause;
};

}  // namespace fernmoor::peers
