/// @file
/// The state of all members as one node holds it, and the rules by which statements change it.
/// A plain data structure of state, statements and time; not thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "common/knobs.h"
#include "common/random.h"
#include "common/time.h"
#include "membership/member_status.h"

namespace fernmoor {

/// What became of a statement.
enum class MergeOutcome {
  kStale,            ///< Nothing new.
  kChanged,          ///< Accepted; worth passing on.
  kNewLife,          ///< Accepted; the incarnation was unknown, so forward its identity too.
  kRefuted,          ///< It accused this node, whose sequence has grown; pass on its own state.
  kSuperseded,       ///< A greater incarnation of this node itself is known to others.
  kIdentityMissing,  ///< Unknown incarnation without an identity; request it.
  kConflict,         ///< Held to be dead here and live there; let the member itself decide.
};

/// One member as held.
struct MemberEntry {
  MemberStatus status;
  MemberIdentity identity;
  Time askAgainAt;    ///< When a suspect is probed directly, in case its refutation was lost.
  Time suspectUntil;  ///< When a suspect counts as dead.
  Time deadSince;     ///< Since when a dead member is remembered.
};

/// What the passing of time did to the suspects.
struct Expiry {
  size_t deaths = 0;               ///< Suspects that count as dead from now on.
  std::vector<NodeId> toAskAgain;  ///< Suspects that half their time is over for.
};

/// All members, this node included.
class MemberTable {
 public:
  /// Buckets of the comparison between two tables.
  static constexpr size_t kBuckets = 32;
  using BucketHashes = std::array<uint32_t, kBuckets>;

  MemberTable(const MemberStatus& self, const MemberIdentity& identity, const Knobs& knobs);

  /// Takes a statement of another node.
  MergeOutcome merge(const MemberStatement& statement, Time now);
  /// Raises the version known in force on an incarnation; a lower version or another incarnation is
  /// ignored.
  /// @return whether it rose.
  bool raiseTableVersion(NodeLife life, TableVersion version);

  /// Changes this node's own state; its sequence grows.
  void setSelfDraining(bool draining);
  void setSelfReachesNoEngine(bool reachesNone);
  void setSelfLeft();
  void setSelfTableVersion(TableVersion version);

  /// A probe of the member failed: an alive member becomes suspect.
  /// @return whether it did.
  bool suspect(NodeLife life, Time now);
  /// Turns suspects whose time is over into dead members and forgets old dead ones.
  Expiry expire(Time now);
  /// Gives all suspects more time, after this process itself was stopped.
  void extendSuspicions(Duration extension);

  /// @return the member, or null if unknown.
  const MemberEntry* find(NodeId node) const;
  const MemberEntry& self() const { return *find(self_); }
  NodeId selfId() const { return self_; }
  const std::map<NodeId, MemberEntry>& entries() const { return entries_; }
  /// @return all members but this node that are held to be alive, by node id. Suspects are left
  /// out: on the small side of a partition most messages would be wasted on them.
  const std::vector<NodeId>& alivePeers() const;
  /// @return up to `count` different alive peers, drawn at random.
  std::vector<NodeId> randomAlivePeers(size_t count, Random& random) const;
  /// @return one alive peer of the zone drawn at random, or nothing if there is none.
  std::vector<NodeId> randomAlivePeersOfZone(const ZoneId& zone, Random& random) const;
  /// @return whether at least as many live members of the zone are suspect as are alive.
  bool isMostlySuspect(const ZoneId& zone) const;
  /// @return all alive peers in random order.
  std::vector<NodeId> shuffledAlivePeers(Random& random) const;

  /// @return a hash of the live members in each bucket; equal tables have equal hashes.
  BucketHashes bucketHashes() const;
  static size_t bucketOf(NodeId node) { return node.value() % kBuckets; }

  /// Counts changes of anything that readers see.
  uint64_t changes() const { return changes_; }

 private:
  MergeOutcome mergeSelf(const MemberStatus& status);
  MergeOutcome mergeUnknown(const MemberStatement& statement, Time now);
  MergeOutcome mergeKnown(MemberEntry& entry, const MemberStatement& statement, Time now);
  MergeOutcome mergeNewLife(MemberEntry& entry, const MemberStatement& statement, Time now);
  void replace(MemberEntry& entry, const MemberStatus& status, Time now);
  void startSuspicion(MemberEntry& entry, Time now);
  void expireSuspect(MemberEntry& entry, Time now, Expiry& expiry);
  void expireBy(Time instant) { nextExpiry_ = std::min(nextExpiry_, instant); }
  MemberEntry& mutableSelf() { return entries_.at(self_); }
  bool makeRoom();
  void noteChange();

  NodeId self_;
  Duration suspicionTimeout_;
  Duration deadRetention_;
  size_t maximumMembers_;
  std::map<NodeId, MemberEntry> entries_;
  Time nextExpiry_ = Time::max();  ///< No entry expires before; spares looking at all each tick.
  uint64_t changes_ = 1;
  mutable std::vector<NodeId> alivePeers_;
  mutable uint64_t alivePeersAsOf_ = 0;
};

}  // namespace fernmoor
