/// @file
/// Requests that crash engines, found by all nodes together. A run that ended with its engine is
/// told to the two nodes that count for that request (rendezvous hashing over the nodes that don't
/// stop), and counted by the node that saw it too; where the members change, all tell the nodes
/// that count from then on. Whoever finds a request suspected proposes to quarantine it; nodes that
/// know it served since its first crash object, and two requests that were at the same ends wait
/// for a further one that tells them apart. Nodes hold the request meanwhile. A proposal without
/// objection becomes a verdict, which all nodes are told; the ends of engines that it explains
/// count against nobody else.
///
/// Verdicts reach nodes that are cut off now, or not yet started, through the operators' store and
/// the mirror of it (quarantine/quarantine_table.h). Until a verdict lies in the store, each node
/// that knows it tells some others each second: all may be stopped and started in turn while the
/// store is away.
#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "common/random.h"
#include "common/role.h"
#include "envelope.pb.h"
#include "gateway/request_quarantine.h"
#include "membership/membership_snapshot.h"
#include "peers/node_hash.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/quarantine_table.h"
#include "quarantine/served_memory.h"

namespace fernmoor::peers {

/// Thread-safe.
class QuarantineDirectory : public Role, public gateway::RequestQuarantine {
 public:
  /// @param table, sender outlive the directory; the sender is used on the threads that call
  ///        noteCrash().
  QuarantineDirectory(NodeId self, const Clock& clock, MessageSender& sender,
                      quarantine::QuarantineTable& table);

  void setMembers(std::shared_ptr<const MembershipSnapshot> members);

  void awaitDecision(uint64_t fingerprint) override;
  std::optional<Duration> timeLeft(uint64_t fingerprint) override;
  void noteCrash(uint64_t fingerprint, const quarantine::CrashedRun& run) override;
  void noteServed(uint64_t fingerprint) override;

  /// @return whether this node is the first of those that put a verdict on the request into the
  /// store.
  bool isFirstToStore(uint64_t fingerprint) const;
  /// @return whether requests like this wait for a decision now.
  bool isHeld(uint64_t fingerprint) const;
  /// @return verdicts that this node has to put into the store now.
  std::vector<quarantine::Quarantined> toStore(Time now) const;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  /// Messages to be sent when the lock is given up.
  using Outbox = std::vector<std::pair<NodeId, proto::Envelope>>;
  struct Proposal {
    quarantine::Suspicion suspicion;
    Time decideAt;
  };
  /// A proposal of any node, which may be a rival to one of this node's.
  struct HeardProposal {
    quarantine::Suspicion suspicion;
    Time at;
  };
  /// A verdict that is told again, as messages may be lost.
  struct Telling {
    quarantine::Suspicion suspicion;
    Time since;
    int left = 0;
    Time nextAt;
  };

  // All of these: call with the lock held.
  /// @return its place among the nodes that put the verdict into the store; their number: none.
  size_t storeRank(uint64_t fingerprint) const;
  void count(uint64_t fingerprint, const quarantine::CrashedRun& run, Time now, Outbox& outbox);
  void propose(quarantine::Suspicion suspicion, Time now, Outbox& outbox);
  /// Withdraws proposals of this node that the ends told here do not tell apart from the other.
  void withdrawRivals(const quarantine::Suspicion& other);
  void accept(const quarantine::Suspicion& suspicion, Time since, Time now);
  /// Tells a few nodes of verdicts that don't lie in the store yet.
  void tellUnstored(Time now, Outbox& outbox);
  void tellAll(const proto::Envelope& envelope, Outbox& outbox) const;
  void forgetHeard(Time now);
  /// Turns proposals of this node whose time for objections is over into verdicts.
  void decide(Time now);
  /// Nodes that count for requests: those that neither stop nor are suspected; this one, if there
  /// is none.
  std::vector<NodeId> countingNodes() const;
  /// Tells the nodes that count now what was held here: others may have counted before.
  void handOver(Time now, Outbox& outbox);
  bool isHeldAt(uint64_t fingerprint, Time now) const;
  void hold(uint64_t fingerprint, Time until);
  void endHold(uint64_t fingerprint);
  void forgetHolds(Time now);

  void takeReport(const quarantine::Suspicion& report, Time now, Outbox& outbox);
  void onProposal(NodeId from, const proto::QuarantineProposal& proposal, Time now, Outbox& outbox);
  void onVerdict(const proto::QuarantineVerdict& verdict, Time now);

  const NodeId self_;
  const Clock& clock_;
  MessageSender& sender_;
  quarantine::QuarantineTable& table_;
  mutable std::mutex mutex_;
  std::shared_ptr<const MembershipSnapshot> members_;
  quarantine::CrashEvidence evidence_;
  quarantine::ServedMemory served_;
  std::map<uint64_t, Proposal> proposals_;  ///< Of this node.
  std::map<uint64_t, Time> heldUntil_;      ///< Requests on which a verdict may come.
  std::atomic<bool> holdsAny_{false};       ///< `heldUntil_` isn't empty.
  std::condition_variable holdEnded_;
  std::vector<NodeId> counting_;
  bool mustHandOver_ = false;
  Time nextHandOverAt_;
  std::vector<HeardProposal> heard_;
  std::vector<Telling> tellings_;
  Random random_;
  Time nextUnstoredAt_;
};

}  // namespace fernmoor::peers
