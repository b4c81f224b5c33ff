/// @file
/// Replicates the state of the operators' store to all nodes over a fan-out tree. A fixed number of
/// nodes, the readers, read the store. About one node in sixteen of each zone is a relay; relays
/// poll the readers a few times a second, and all other nodes poll the relays of their zone. A node
/// that receives a change forwards it at once to the nodes that polled it recently. Therefore
/// neither the calls to the store nor the questions to one node grow with the number of nodes.
///
/// Short changes are pushed at once. Long changes are only offered, and each node pulls them from
/// one other node at a time, with a deadline that depends on their length. This way a slow link
/// carries them once, and nothing is queued that no node asked for.
///
/// A confirmed read states that a copy was up to date at an instant. Its age counts from the start
/// of the reader's own call to the store, and the asking node subtracts the age in an answer from
/// the time of its own question. A delay anywhere on the way, or a suspension of either process,
/// can therefore only make a confirmed read look older than it is.
///
/// The store may reject the readers and serve other nodes. A relay that receives nothing recent
/// from upstream reads the store itself until upstream nodes answer again; nodes below the relays
/// do so only later, once their relays have had time to. Nodes that get answers neither from
/// upstream nor from the store ask the other nodes in turn.
///
/// Besides the copy, nodes exchange since when versions of weights have been named, because the
/// bound of a version must not start anew in each process. They also exchange which store revision
/// was current at which instant, by which each node dates the changes that it receives. These ages
/// count from the question too and are only sent in answers, because any other message may have
/// been delayed for long.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "backends/revision_times.h"
#include "backends/wanted_weights.h"
#include "common/role.h"
#include "envelope.pb.h"
#include "membership/membership_snapshot.h"
#include "peers/mirror_content.h"
#include "peers/open_questions.h"
#include "peers/relay_tiers.h"
#include "peers/state_mirror.h"

namespace fernmoor::peers {

/// Whether and why this node reads the store itself.
enum class ReadDuty {
  kNone,      ///< Other nodes read the store and answer this one.
  kStart,     ///< Started recently and has received nothing yet: reads each kind once.
  kReader,    ///< Is one of the readers.
  kFallback,  ///< Should receive the state from upstream, but does not.
};

/// @return whether a node with this duty reads the store continuously.
inline bool followsStore(ReadDuty duty) {
  return duty == ReadDuty::kReader || duty == ReadDuty::kFallback;
}

/// Thread-safe.
class MirrorRole : public Role {
 public:
  /// @param mirror, wanted, revisionTimes must outlive the role.
  /// @param startedAt start time of this node.
  MirrorRole(NodeId self, StateMirror& mirror, DesiredWeights& wanted, RevisionTimes& revisionTimes,
             Time startedAt)
      : self_(self),
        mirror_(mirror),
        content_(mirror),
        wanted_(wanted),
        revisionTimes_(revisionTimes),
        startedAt_(startedAt),
        questions_(static_cast<uint32_t>(startedAt.time_since_epoch().count())) {}

  /// Sets the members among which the duties are assigned.
  void setMembers(std::shared_ptr<const MembershipSnapshot> members);
  /// @return whether and why this node must read the store now.
  ReadDuty duty(Time now) const;
  /// @return the rank of this node among those that stand in for the readers if these fail at a
  ///         task of a single node; nothing if it is not one of the first few. Draining nodes keep
  ///         their rank for as long as they are alive; nodes that reach no engine have none.
  std::optional<size_t> standbyRank() const;
  /// Sends changes that are new to this node to the nodes that polled it recently.
  void announce(MirrorKind kind, uint64_t fromRevision, Time now, MessageSender& sender);

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  /// Duties of this node, derived from one membership snapshot.
  struct Duties {
    bool isAlone = true;  ///< No other node is known.
    bool isReader = false;
    bool isBelowRelays = false;     ///< It polls relays, which poll the readers.
    std::set<NodeId> upstream;      ///< Nodes whose confirmed reads relieve this one of reading.
    std::vector<NodeId> pollOrder;  ///< All other live nodes, in the order of preference.
  };

  /// Notes whether many more members are known than before. Call with the lock held.
  void noteGrowth(Time now);
  /// @return since when this node has known enough of the members to tell its duties; nothing if it
  ///         does not yet. Call with the lock held.
  std::optional<Time> settledAt(Time now) const;

  static Duties dutiesOf(NodeId self, const MembershipSnapshot& members);
  std::optional<NodeId> nodeToAsk() const;
  /// Records the confirmed read of the rows in an answer, and moves on to another node if it is
  /// stale.
  void noteConfirmedRead(NodeId teller, std::optional<Time> confirmedAt, Time now);
  /// @return whether this node holds the rows of that revision or is pulling them.
  bool holdsOrPulls(uint64_t rows, Time now) const;
  /// Call with the lock held. @return whether the newest confirmed read is one of this node.
  bool hasNewestRead() const;
  /// Call with the lock held.
  bool isUpstream(std::optional<NodeId> node) const;
  void ask(NodeId reader, Time now, MessageSender& sender);
  /// Asks for all changes that this node is missing, unless a pull is open already.
  void pull(NodeId from, Time now, MessageSender& sender);
  void sendQuestion(NodeId to, uint32_t id, bool pulls, MessageSender& sender);
  void onQuestion(NodeLife from, const proto::MirrorQuestion& question, Time now,
                  MessageSender& sender);
  void onAnswer(NodeLife from, const proto::MirrorAnswer& answer, Time now, MessageSender& sender);
  /// Applies changes of a kind and forwards those that are new.
  void applyChanges(const proto::MirrorChanges& changes, Time now, MessageSender& sender);
  /// Pulls the offered changes that this node is missing.
  void handleOffers(NodeId from, const proto::MirrorAnswer& answer, Time now,
                    MessageSender& sender);
  /// Closes the open pull once all offered revisions are held, by whatever way they arrived.
  void closeCompletedPull();
  /// Adds the last confirmed read of a kind, and the changes that the asker is missing or an offer
  /// of them.
  /// @param isPulled whether the asker requests the changes however large they are.
  void addKind(MirrorKind kind, uint64_t held, bool isPulled, Time now, MessageSender& sender,
               proto::MirrorAnswer& answer);
  void addTimes(Time now, proto::MirrorAnswer& answer) const;
  /// @param askedAt time at which the question was sent.
  void applyTimes(const proto::MirrorAnswer& answer, Time askedAt, Time now);

  const NodeId self_;
  StateMirror& mirror_;
  MirrorContent content_;
  DesiredWeights& wanted_;
  RevisionTimes& revisionTimes_;
  const Time startedAt_;
  mutable std::mutex mutex_;
  std::shared_ptr<const MembershipSnapshot> members_;
  Duties duties_;                  ///< Derived from `members_`.
  size_t membersAtGrowth_ = 0;     ///< Other live nodes known at `grownAt_`.
  Time grownAt_;                   ///< When many more nodes became known last.
  std::optional<Time> settledAt_;  ///< Once the view has settled, it counts as settled for good.
  OpenQuestions questions_;
  std::array<uint64_t, kMirrorKinds>
      offered_{};                        ///< Newest revision of each kind that any node offered.
  std::optional<Time> missingSince_;     ///< Since when an offered revision has been missing here.
  std::map<NodeId, Time> recentAskers_;  ///< Time of the last question, by asking node.
  Time nextPollAt_;
  Time upstreamReadAt_;    ///< Start of the newest confirmed read received from upstream.
  Time newestPeerReadAt_;  ///< Start of the newest confirmed read received from any node.
  size_t pollOffset_ = 0;  ///< Grows when an asked node does not answer or is stale.
};

}  // namespace fernmoor::peers
