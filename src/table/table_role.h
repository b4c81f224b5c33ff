/// @file
/// Spreads the table over the nodes. A few watchers in each zone read the platform; every node that
/// puts a new version in force tells its number to a few random peers, and whoever lacks it fetches
/// the difference from a peer that has it (epidemic push of the number, pull of the content: A.
/// Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987).
/// Invariants, see docs/TABLE.md: versions are applied in order and whole, never backwards; a node
/// names only versions that it has in force; a restarted node serves after it looked for the
/// highest version.
#pragma once

#include <atomic>
#include <optional>
#include <vector>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "common/random.h"
#include "common/role.h"
#include "objectstore/object_store_client.h"
#include "table/acceptance_polls.h"
#include "table/snapshot_transfer.h"
#include "table/startup_search.h"
#include "table/table.h"
#include "table/table_announcer.h"
#include "table/table_history.h"
#include "table/table_peers.h"

namespace fernmoor {

/// What the role wants read from the platform.
enum class PlatformNeed {
  kNothing,   ///< Another node of the zone watches.
  kChanges,   ///< Watch for changes after the version in force.
  kSnapshot,  ///< Take all rows: the changes don't follow the version in force.
};

/// What happened so far, for metrics.
struct TableCounters {
  uint64_t changesApplied = 0;
  uint64_t snapshotsApplied = 0;
  uint64_t unreadableRows = 0;     ///< Objects of the platform that hold no valid row.
  uint64_t malformedMessages = 0;  ///< Changes or pages of peers that were refused.
  uint64_t formerLifeAnswers = 0;  ///< Answers to requests of a former life of this node; dropped.
  uint64_t fetchTimeouts = 0;
  uint64_t platformBehind = 0;  ///< Answers of the platform older than the version in force.
};

class TableRole : public Role {
 public:
  /// @param table where versions are put in force; written by this role only.
  /// @param membership the members; both outlive the role.
  /// @param seed of the choice of peers.
  TableRole(Table& table, const MembershipView& membership, const Knobs& knobs, uint64_t seed);

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

  /// Notes a version heard of, e.g. in a heartbeat; the next tick acts on it.
  void onVersionSeen(NodeId node, TableVersion version);

  /// @return what this node should read from the platform now.
  PlatformNeed platformNeed(Time now) const;
  /// Takes the answer to a watch that was asked for the changes after the version in force.
  void onPlatformChanges(const WatchBatch& batch, Time now, MessageSender& sender);
  /// Takes all rows as of one revision.
  void onPlatformSnapshot(const CollectionSnapshot& collection, Time now, MessageSender& sender);

  /// @return whether this node may serve: it has a table, and after its start it looked for a
  ///     higher version among its peers.
  bool ready() const { return ready_.load(std::memory_order_acquire); }

  /// Begins to wait for a version's acceptance: the nodes are asked for their version until each
  /// reported at least this one twice in one life, the second time after all had reported it.
  Result<AcceptancePollId> startAcceptance(TableVersion version, Time now);
  /// Sets the nodes to ask.
  void setAcceptanceNodes(AcceptancePollId poll, const std::vector<NodeId>& nodes);
  /// @return the nodes that haven't reported the version in the present round, in order; none once
  ///     it is accepted.
  std::vector<NodeId> lacking(AcceptancePollId poll) const;
  void stopAcceptance(AcceptancePollId poll);

  TableCounters counters() const;

 private:
  struct Fetch {
    NodeId peer;
    Time deadline;
  };

  void refreshMembers(Time now);
  bool isWatcher(const std::vector<Member>& members, const Member& self) const;

  /// @return whether the message is an answer to a request of a former life of this node.
  bool isForFormerLife(const proto::TableMessage& message) const;
  /// Sends the answer to a request, for the life that asked only.
  static void sendAnswer(NodeLife asker, proto::Envelope answer, MessageSender& sender);
  void onChangesRequest(NodeLife from, const proto::TableChangesRequest& request,
                        MessageSender& sender);
  void onChanges(NodeId from, const proto::TableChanges& message, Time now, MessageSender& sender);
  void onSnapshotPage(NodeId from, const proto::TableSnapshotPage& page, Time now,
                      MessageSender& sender);
  void onVersionReply(NodeLife from, const proto::TableVersionReply& reply);
  void onAnnouncement(NodeId from, TableVersion version, MessageSender& sender);

  /// @return whether the change followed the version in force and is in force now.
  bool applyNext(const TableChange& change);
  void applySnapshot(const Table::Snapshot& snapshot);
  void afterProgress(Time now, MessageSender& sender);

  void pursue(Time now, MessageSender& sender);
  void requestFrom(NodeId peer, Time now, MessageSender& sender);
  void expireFetch(Time now);
  void lookForHighest(Time now, MessageSender& sender);
  void askForAcceptance(Time now, MessageSender& sender);

  Table& table_;
  const MembershipView& membership_;
  const Knobs knobs_;
  std::atomic<bool> ready_{false};

  mutable RankedMutex mutex_{LockRank::kTable};
  Random random_;
  TablePeers peers_;
  TableAnnouncer announcer_;
  TableHistory history_;
  SnapshotArchive archive_;
  SnapshotReceipt receipt_;
  AcceptancePolls polls_;
  StartupSearch startup_;
  TableCounters counters_;
  NodeLife self_;
  bool isWatcher_ = false;
  Time nextRefresh_;
  bool needsPeerSnapshot_ = true;
  bool needsPlatformSnapshot_ = false;
  bool platformIsEmpty_ = false;  ///< Nothing was ever stored: the first change follows version 0.
  std::optional<Fetch> fetch_;
  NodeId slowPeer_;  ///< Did not answer the last request in time.
};

}  // namespace fernmoor
