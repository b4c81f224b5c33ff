/// @file
/// Relay of the mirrored state between nodes. A few nodes, the readers, read the operators' store;
/// each other node asks one of them a few times a second, and readers tell at once those that asked
/// lately. What this costs a node does not depend on the number of nodes: readers grow with them.
///
/// A proof that a copy is the newest ages from the start of the reader's own call; the asker counts
/// the age that it is told from the instant of its own question. So a delay anywhere on the way,
/// or a stop of either process, only makes a proof older.
///
/// The store may turn the readers away and serve others. A node that no reader tells anything new
/// reads the store itself, and goes on until a reader tells it again; nodes that neither a reader
/// nor the store tells ask the other nodes in turn.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "common/role.h"
#include "envelope.pb.h"
#include "membership/membership_snapshot.h"
#include "peers/state_mirror.h"

namespace fernmoor::peers {

/// Whether this node reads the store itself, and why.
enum class ReadDuty {
  kNone,      ///< Others read and tell this node.
  kReader,    ///< It is one of the readers.
  kFallback,  ///< It should be told by others, and is not.
};

/// Thread-safe.
class MirrorRole : public Role {
 public:
  /// @param mirror outlives the role.
  MirrorRole(NodeId self, StateMirror& mirror) : self_(self), mirror_(mirror) {}

  /// Sets the picture of the members that duties are shared out by.
  void setMembers(std::shared_ptr<const MembershipSnapshot> members);
  /// @return whether this node must read the store now.
  ReadDuty duty(Time now) const;
  /// Tells nodes that asked lately of changes that this node has read.
  void announce(MirrorKind kind, uint64_t fromRevision, Time now, MessageSender& sender);

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  struct Question {
    Time askedAt;
    NodeId to;
  };

  std::vector<NodeId> readers() const;
  std::optional<NodeId> nodeToAsk() const;
  void forgetLostQuestions(Time now);
  void noteToldProof(NodeId teller, Time provenAt);
  void ask(NodeId reader, Time now, MessageSender& sender);
  void onQuestion(NodeLife from, const proto::MirrorQuestion& question, Time now,
                  MessageSender& sender);
  void onAnswer(const proto::MirrorAnswer& answer, Time now);
  void addChanges(MirrorKind kind, uint64_t since, Time now, proto::MirrorAnswer& answer) const;

  const NodeId self_;
  StateMirror& mirror_;
  mutable std::mutex mutex_;
  std::shared_ptr<const MembershipSnapshot> members_;
  std::map<uint32_t, Question> questions_;
  std::map<NodeId, Time> askers_;  ///< Who asked, and when last.
  uint32_t lastQuestion_ = 0;
  Time nextQuestionAt_;
  Time toldProof_;       ///< Start of the newest proof that a reader told.
  size_t rotation_ = 0;  ///< Grows when an asked node does not answer, or knows too little.
};

/// @return the nodes that read the store: one of each zone, and of every sixteen in a large zone,
/// so
///         that what they pass on stays within zones; two at least.
std::vector<NodeId> storeReaders(const MembershipSnapshot& members);

}  // namespace fernmoor::peers
