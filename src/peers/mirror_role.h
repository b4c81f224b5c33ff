/// @file
/// Relay of the mirrored state between nodes. A fixed number of nodes, the readers, read the
/// operators' store. One node of some sixteen of a zone, the relays, ask the readers a few times a
/// second, and all others ask the relays of their zone; who learns something new tells at once
/// those that asked lately. So neither the calls to the store nor the questions to one node grow
/// with the number of nodes.
///
/// Short changes are told at once. Long ones are offered, and pulled by each node from one other at
/// a time, with a time that fits their length: a link that is narrow carries them once, and nothing
/// waits in memory that a node did not ask for.
///
/// A proof that a copy is the newest ages from the start of the reader's own call; the asker counts
/// the age that it is told from the instant of its own question. So a delay anywhere on the way,
/// or a stop of either process, only makes a proof older.
///
/// The store may turn the readers away and serve others. A relay that nobody above it tells
/// anything new reads the store itself, and goes on until it is told again; other nodes do so only
/// later, when their relays have had time to. Nodes that neither anybody above them nor the store
/// tells ask the other nodes in turn.
///
/// Beside the copy, nodes tell each other since when versions of weights are named: the bound of a
/// version must not begin anew in each process. They also tell how far the store had come at which
/// instant, by which each dates what it is told. Such ages too count from the asker's question, and
/// none is told without one: a message may have been on its way for long.
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

/// Whether this node reads the store itself, and why.
enum class ReadDuty {
  kNone,    ///< Others read and tell this node.
  kStart,   ///< It was started a moment ago and nobody has told it anything: reads each kind once.
  kReader,  ///< It is one of the readers.
  kFallback,  ///< It should be told by others, and is not.
};

/// @return whether a node with that duty follows the store.
inline bool followsStore(ReadDuty duty) {
  return duty == ReadDuty::kReader || duty == ReadDuty::kFallback;
}

/// Thread-safe.
class MirrorRole : public Role {
 public:
  /// @param mirror, wanted, revisionTimes outlive the role.
  /// @param startedAt when this node was started.
  MirrorRole(NodeId self, StateMirror& mirror, DesiredWeights& wanted, RevisionTimes& revisionTimes,
             Time startedAt)
      : self_(self),
        mirror_(mirror),
        content_(mirror),
        wanted_(wanted),
        revisionTimes_(revisionTimes),
        startedAt_(startedAt),
        questions_(static_cast<uint32_t>(startedAt.time_since_epoch().count())) {}

  /// Sets the picture of the members that duties are shared out by.
  void setMembers(std::shared_ptr<const MembershipSnapshot> members);
  /// @return whether this node must read the store now.
  ReadDuty duty(Time now) const;
  /// @return how many nodes come before this one to step in where the readers do not do what one
  ///         node has to; nothing where it is none of the first few. Nodes that stop are among
  ///         them for as long as they live.
  std::optional<size_t> standbyRank() const;
  /// Tells nodes that asked lately of changes that are new to this one.
  void announce(MirrorKind kind, uint64_t fromRevision, Time now, MessageSender& sender);

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  /// What follows from one picture of the members.
  struct Duties {
    bool isAlone = true;  ///< No other node is known.
    bool isReader = false;
    bool isBelowRelays = false;    ///< It is told by nodes that are told by the readers.
    std::set<NodeId> above;        ///< Nodes whose proofs relieve this one of reading.
    std::vector<NodeId> askOrder;  ///< All other living nodes, those to be asked first in front.
  };

  static Duties dutiesOf(NodeId self, const MembershipSnapshot& members);
  std::optional<NodeId> nodeToAsk() const;
  /// Takes the proof of the rows in an answer, and goes on to another node where it is old.
  void noteToldProof(NodeId teller, std::optional<Time> provenAt, Time now);
  /// @return whether this node holds the rows of that revision, or is about to.
  bool isBeingBrought(uint64_t rows, Time now) const;
  /// Call with the lock held. @return whether the newest proof comes from a read of this node.
  bool readsItself() const;
  /// Call with the lock held.
  bool isAbove(std::optional<NodeId> node) const;
  void ask(NodeId reader, Time now, MessageSender& sender);
  /// Asks for all that this node lacks, unless it is being answered that already.
  void pull(NodeId from, Time now, MessageSender& sender);
  void sendQuestion(NodeId to, uint32_t id, bool pulls, MessageSender& sender);
  void onQuestion(NodeLife from, const proto::MirrorQuestion& question, Time now,
                  MessageSender& sender);
  void onAnswer(NodeLife from, const proto::MirrorAnswer& answer, Time now, MessageSender& sender);
  /// Takes changes of a kind and passes on what is new.
  void takeChanges(const proto::MirrorChanges& changes, Time now, MessageSender& sender);
  /// Pulls from the node what it offers and this one lacks.
  void takeOffers(NodeId from, const proto::MirrorAnswer& answer, Time now, MessageSender& sender);
  /// Nothing is pulled any more once all that was offered is here, by whatever way it came.
  void noteHeld();
  /// Adds the proof of a kind, and what the asker lacks or an offer of it.
  /// @param isPulled the asker waits for it, however large.
  void addKind(MirrorKind kind, uint64_t held, bool isPulled, Time now, MessageSender& sender,
               proto::MirrorAnswer& answer);
  void addTimes(Time now, proto::MirrorAnswer& answer) const;
  /// @param askedAt when the question began.
  void takeTimes(const proto::MirrorAnswer& answer, Time askedAt, Time now);

  const NodeId self_;
  StateMirror& mirror_;
  MirrorContent content_;
  DesiredWeights& wanted_;
  RevisionTimes& revisionTimes_;
  const Time startedAt_;
  mutable std::mutex mutex_;
  std::shared_ptr<const MembershipSnapshot> members_;
  Duties duties_;  ///< By `members_`.
  OpenQuestions questions_;
  std::array<uint64_t, kMirrorKinds> offered_{};  ///< Newest revisions that any node offered.
  std::optional<Time> lacksSince_;  ///< Since when something is offered that is not here.
  std::map<NodeId, Time> askers_;   ///< Who asked, and when last.
  Time nextQuestionAt_;
  Time toldProof_;       ///< Start of the newest proof that a node above this one told.
  Time newestTold_;      ///< Start of the newest proof that any node told.
  size_t rotation_ = 0;  ///< Grows when an asked node does not answer, or knows too little.
};

}  // namespace fernmoor::peers
