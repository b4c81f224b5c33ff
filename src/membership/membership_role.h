/// @file
/// Who takes part, in which life and state, and which table version is in force where. Design and
/// invariants: docs/MEMBERSHIP.md.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "common/random.h"
#include "common/role.h"
#include "membership/member.h"
#include "membership/member_table.h"
#include "membership/membership_snapshot.h"
#include "membership/messenger.h"
#include "membership/prober.h"
#include "membership/synchronizer.h"
#include "membership/update_queue.h"
#include "membership/version_spread.h"

namespace fernmoor {

/// What a node's membership starts from.
struct MembershipSettings {
  Member self;  ///< Incarnation, zone, region and addresses of this node.
  std::vector<Seed> seeds;
  Knobs knobs;
  uint64_t randomSeed = 0;
};

/// Totals since the start.
struct MembershipCounters {
  uint64_t probesFailed = 0;      ///< Periodic probes that nobody answered.
  uint64_t suspicionsRaised = 0;  ///< Alive members that this node itself made suspect.
  uint64_t refutations = 0;       ///< Accusations against this node that it refuted.
  uint64_t deaths = 0;            ///< Suspects that counted as dead here once their time was over.
  uint64_t statementsRejected = 0;  ///< Statements that broke a bound.
  uint64_t pauses = 0;              ///< Times that this process had been stopped.
};

/// The membership duty of one node. Thread-safe.
class MembershipRole : public Role, public MembershipView {
 public:
  explicit MembershipRole(const MembershipSettings& settings);

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

  Member self() const override;
  std::vector<Member> members() const override;
  /// @return the latest picture, never null. Takes no ranked lock, so it may be called under any.
  /// It is at most one tick behind, and holds a new member before that member is answered.
  std::shared_ptr<const MembershipSnapshot> snapshot() const;

  /// Adds candidates to ask, from the settings or from a list that lags. A seed never makes a node
  /// alive or dead.
  void addSeeds(const std::vector<Seed>& seeds);
  /// Replaces all seeds, when the settings have changed.
  void replaceSeeds(const std::vector<Seed>& seeds);
  /// Replaces the nodes that a registry names beside the seeds, and asks them at the next tick.
  void setRegistered(const std::vector<Seed>& nodes);
  /// Announces which table version is in force here; a lower one than before is ignored.
  void setLocalTableVersion(TableVersion version);
  /// Announces whether this node accepts new work.
  void setDraining(bool draining);
  /// Announces whether this node is partitioned from all engines.
  void setReachesNoEngine(bool reachesNone);
  /// Tells some members that this node stops now, and falls silent for good.
  void leave(MessageSender& sender);

  /// @return whether a node sent all its members, or the seeds did not answer for too long.
  bool joined() const;
  /// @return a greater incarnation of this node known to others, if any: another process runs
  /// under this node's id, or its clock went back. This role is silent from then on; start anew
  /// with a greater incarnation, or stop.
  std::optional<Incarnation> supersededBy() const;
  MembershipCounters counters() const;

 private:
  bool isSilent() const;
  void handle(NodeLife from, const proto::MembershipMessage& message, Time now);
  /// @return whether the published snapshot holds the receivers' addresses, which the transport
  /// needs to send the messages.
  bool canReach(const std::vector<OutgoingMessage>& messages) const;
  bool takeHeartbeat(NodeLife from, const proto::MembershipMessage& message, Time now);
  bool takeUpdates(NodeId from, const proto::MembershipMessage& message, Time now);
  /// @return whether the statement was about an unknown incarnation.
  bool take(NodeId from, const MemberStatement& statement, Time now);
  /// Where hearsay makes most of a zone suspect, asks those of it that are still held alive: the
  /// hearsay about them may have been lost.
  void probeRestOfZone(NodeId accused);
  void takeVersions(NodeLife from, const proto::MembershipMessage& message);
  void takeKind(NodeLife from, const proto::MembershipMessage& message, bool newLives, Time now);
  void notePause(Time now);
  void takeFailures(const std::vector<ProbeFailure>& failures, Time now);
  void takeExpiry(const Expiry& expiry);
  void gossip(Time now);
  std::vector<NodeId> nextGossipTargets();
  void publishIfChanged();

  const Knobs knobs_;
  mutable RankedMutex mutex_{LockRank::kMembership};
  Random random_;
  MemberTable table_;
  UpdateQueue updates_;
  VersionSpread versions_;
  Messenger messenger_;
  Prober prober_;
  Synchronizer synchronizer_;
  MembershipCounters counters_;
  std::optional<Incarnation> supersededBy_;
  std::optional<Time> lastTickAt_;
  std::vector<NodeId> gossipOrder_;  ///< Peers left in this round of gossip, the next one last.
  Time nextGossipAt_;
  bool addressesChanged_ = false;
  uint64_t publishedChanges_ = 0;
  uint64_t publishedVersion_ = 0;
  TableVersion publishedNewest_;
  std::shared_ptr<const MembershipSnapshot> snapshot_;  ///< By std::atomic_load and _store.
};

}  // namespace fernmoor
