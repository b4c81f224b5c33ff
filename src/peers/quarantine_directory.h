/// @file
/// Distributed detection of requests, and of parts of prompts, that crash engines, by group
/// testing: "request" below means either, a request as a whole or all requests that share a part of
/// their prompts. When an engine crashes, each request that it was running is reported to the two
/// owner nodes of that request, chosen by rendezvous hashing over the nodes that are not draining,
/// and also counted by the reporting node itself. When the members change, all nodes hand over
/// their reports to the new owners. A node that suspects a request proposes to quarantine it. Nodes
/// that know the request was served since its first crash object, and the proposer tells all nodes,
/// which drop their evidence; if a node that could have objected was lost or restarted since, one
/// more crash is required, up to five in all. Two requests that were running at the same crashes
/// wait for a further crash that tells them apart. Nodes hold the request meanwhile. A proposal
/// without objection becomes a verdict (on a part of prompts only if requests without it are served
/// and it was running at most of the crashes, see quarantine/control_group.h), which is sent to all
/// nodes, and the crashes that it explains are not counted against other requests.
///
/// Verdicts reach nodes that are partitioned off or not yet started through the operators' store
/// and its mirror (quarantine/quarantine_table.h). Until a verdict is stored, each node that knows
/// it sends it to some other nodes every second, because all nodes may be restarted in turn while
/// the store is unavailable.
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
#include "quarantine/control_group.h"
#include "quarantine/crash_evidence.h"
#include "quarantine/quarantine_table.h"
#include "quarantine/served_memory.h"

namespace fernmoor::peers {

/// Thread-safe.
class QuarantineDirectory : public Role, public gateway::RequestQuarantine {
 public:
  /// @param table, sender must outlive the directory; the sender is used on the threads that call
  ///        noteCrash().
  QuarantineDirectory(NodeId self, const Clock& clock, MessageSender& sender,
                      quarantine::QuarantineTable& table);

  void setMembers(std::shared_ptr<const MembershipSnapshot> members);

  void awaitDecision(const gateway::Suspects& suspects) override;
  std::optional<Duration> timeLeft(const gateway::Suspects& suspects) override;
  void noteCrash(const gateway::Suspects& suspects, const quarantine::CrashedRun& run) override;
  void noteServed(const gateway::Suspects& suspects) override;

  /// @return whether this node is the first that writes a verdict on the request to the store.
  bool isFirstToStore(uint64_t fingerprint) const;
  /// @return whether requests with this fingerprint are held until a decision.
  bool isHeld(uint64_t fingerprint) const;
  /// @return verdicts that this node must write to the store now.
  std::vector<quarantine::Quarantined> toStore(Time now) const;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  /// Messages to send after the lock is released.
  using Outbox = std::vector<std::pair<NodeId, proto::Envelope>>;
  struct Proposal {
    quarantine::Suspicion suspicion;
    Time decideAt;
  };
  /// A recent proposal of any node, which may rival one of this node.
  struct RecentProposal {
    quarantine::Suspicion suspicion;
    Time at;
  };
  /// A verdict that is sent several times, because messages may be lost.
  struct VerdictBroadcast {
    quarantine::Suspicion suspicion;
    Time since;
    int remaining = 0;
    Time nextAt;
  };

  // All of these: call with the lock held.
  /// @return the rank of this node among those that write the verdict to the store; their number if
  ///         it is not one of them.
  size_t storeRank(uint64_t fingerprint) const;
  void count(uint64_t fingerprint, const quarantine::CrashedRun& run, Time now, Outbox& outbox);
  /// Counts a crash of a request or part that ran here.
  /// @param reports grow by what its owners are to be told.
  void countOwn(uint64_t fingerprint, const quarantine::CrashedRun& run, Time now, Outbox& outbox,
                std::map<NodeId, proto::Envelope>& reports);
  /// Clears a request or part that an engine has survived.
  void clearServed(uint64_t fingerprint, Time now);
  void awaitDecision(uint64_t fingerprint, std::unique_lock<std::mutex>& lock);
  void propose(quarantine::Suspicion suspicion, Time now, Outbox& outbox);
  /// Sends a proposal to all nodes, unless there is one of this node already.
  void announce(quarantine::Suspicion suspicion, Time now, Outbox& outbox);
  /// @return whether the whole request was running at all crashes for which a part was proposed
  ///         lately, and these are still held against it.
  bool explainsRecentPart(const quarantine::Suspicion& suspicion) const;
  /// Withdraws proposals of this node whose crashes do not tell them apart from the other
  /// suspicion.
  void withdrawRivalProposals(const quarantine::Suspicion& other);
  void applyVerdict(const quarantine::Suspicion& suspicion, Time since, Time now);
  /// Sends the verdicts that are not in the store yet to a few nodes.
  void sendUnstoredVerdicts(Time now, Outbox& outbox);
  void broadcast(const proto::Envelope& envelope, Outbox& outbox) const;
  void forgetOldProposals(Time now);
  /// Turns proposals of this node into verdicts once the time for objections is over, and, for a
  /// part of prompts, once requests without it are served.
  void decideDueProposals(Time now);
  /// @return whether the suspect is a part, and no request without it was served here since, or
  ///         more engines crashed without it than with it.
  bool lacksControl(const quarantine::Suspicion& suspicion) const;
  /// @return nodes that may own requests: those that are neither draining nor suspected; only this
  ///         one if there are none.
  std::vector<NodeId> ownerCandidates() const;
  /// Sends the evidence held here to the current owners, which may have changed.
  void handOver(Time now, Outbox& outbox);
  bool isHeldAt(uint64_t fingerprint, Time now) const;
  void hold(uint64_t fingerprint, Time until);
  void endHold(uint64_t fingerprint);
  void forgetHolds(Time now);

  void onReport(const quarantine::Suspicion& report, Time now, Outbox& outbox);
  void onProposal(NodeId from, const proto::QuarantineProposal& proposal, Time now, Outbox& outbox);
  /// Drops what is held against a request that was served. A node that proposed to quarantine it
  /// tells all others.
  void onObjection(const proto::QuarantineObjection& objection, Outbox& outbox);
  void onVerdict(const proto::QuarantineVerdict& verdict, Time now);

  const NodeId self_;
  const Clock& clock_;
  MessageSender& sender_;
  quarantine::QuarantineTable& table_;
  mutable std::mutex mutex_;
  std::shared_ptr<const MembershipSnapshot> members_;
  Time memberLostAt_;  ///< When a member was last gone or restarted.
  quarantine::CrashEvidence evidence_;
  quarantine::ServedMemory served_;
  quarantine::ControlGroup control_;
  std::map<uint64_t, Proposal> proposals_;  ///< Of this node.
  std::map<uint64_t, Time> heldUntil_;      ///< Held requests, for which a verdict may arrive.
  std::atomic<bool> holdsAny_{false};       ///< `heldUntil_` isn't empty.
  std::condition_variable holdEnded_;
  std::vector<NodeId> ownerCandidates_;
  bool mustHandOver_ = false;
  Time nextHandOverAt_;
  std::vector<RecentProposal> recentProposals_;
  std::vector<VerdictBroadcast> verdictBroadcasts_;
  Random random_;
  Time nextUnstoredAt_;
};

}  // namespace fernmoor::peers
