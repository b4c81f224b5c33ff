#include "peers/mirror_role.h"

#include <algorithm>

#include "common/rendezvous.h"
#include "peers/node_hash.h"

namespace fernmoor::peers {

namespace {

constexpr size_t kFewestReaders = 2;
constexpr size_t kNodesPerReader = 16;
constexpr uint64_t kReaderKey = 0x72656164657273;
constexpr Duration kAskInterval{400000};
/// A question without an answer by then is given up, and another reader is asked.
constexpr Duration kAnswerTimeout{300000};
/// With a proof older than this another reader is asked.
constexpr Duration kOldProof{1100000};
/// With a proof older than this the node reads the store itself.
constexpr Duration kFallbackProof{1500000};
/// Nodes that asked within this time are told of changes at once.
constexpr Duration kAskerMemory{2000000};
constexpr size_t kMostQuestions = 64;

}  // namespace

std::vector<NodeId> storeReaders(const MembershipSnapshot& members) {
  std::map<ZoneId, std::vector<NodeId>> byZone;
  std::vector<NodeId> all;
  for (const Member& member : members.members) {
    if (member.state == MemberState::kAlive) {
      byZone[member.zone].push_back(member.life.node);
      all.push_back(member.life.node);
    }
  }
  if (all.size() <= kNodesPerReader) {
    return rendezvousTop(kReaderKey, std::move(all), kFewestReaders, nodeHash);
  }
  std::vector<NodeId> readers;
  for (auto& [zone, nodes] : byZone) {
    const size_t count = nodes.size() / kNodesPerReader + 1;
    const std::vector<NodeId> chosen = rendezvousTop(kReaderKey, std::move(nodes), count, nodeHash);
    readers.insert(readers.end(), chosen.begin(), chosen.end());
  }
  return readers;
}

void MirrorRole::setMembers(std::shared_ptr<const MembershipSnapshot> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  members_ = std::move(members);
}

std::vector<NodeId> MirrorRole::readers() const {
  return members_ == nullptr ? std::vector<NodeId>() : storeReaders(*members_);
}

ReadDuty MirrorRole::duty(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::vector<NodeId> nodes = readers();
  if (nodes.empty() || std::find(nodes.begin(), nodes.end(), self_) != nodes.end()) {
    return ReadDuty::kReader;
  }
  return now - toldProof_ > kFallbackProof ? ReadDuty::kFallback : ReadDuty::kNone;
}

/// Readers come first, those of this node's zone before others; then all other nodes, which read
/// themselves where the store turns the readers away.
std::optional<NodeId> MirrorRole::nodeToAsk() const {
  const std::vector<NodeId> readingNodes = readers();
  const ZoneId zone = members_ == nullptr ? ZoneId() : members_->selfMember().zone;
  std::vector<NodeId> nodes;
  for (size_t index = 0; members_ != nullptr && index < members_->members.size(); ++index) {
    const Member& member = members_->members[index];
    if (member.state == MemberState::kAlive && member.life.node != self_) {
      nodes.push_back(member.life.node);
    }
  }
  if (nodes.empty()) {
    return std::nullopt;
  }
  const size_t count = nodes.size();
  nodes = rendezvousTop(nodeHash(self_), std::move(nodes), count, nodeHash);
  std::stable_partition(nodes.begin(), nodes.end(),
                        [&](NodeId node) { return members_->find(node)->zone == zone; });
  std::stable_partition(nodes.begin(), nodes.end(), [&](NodeId node) {
    return std::find(readingNodes.begin(), readingNodes.end(), node) != readingNodes.end();
  });
  return nodes[rotation_ % nodes.size()];
}

void MirrorRole::ask(NodeId reader, Time now, MessageSender& sender) {
  proto::Envelope envelope;
  proto::MirrorQuestion& question = *envelope.mutable_mirror()->mutable_question();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    question.set_question_id(++lastQuestion_);
    questions_[lastQuestion_] = Question{now, reader};
  }
  for (size_t kind = 0; kind < kMirrorKinds; ++kind) {
    question.add_revisions(mirror_.revision(static_cast<MirrorKind>(kind)));
  }
  sender.send(reader, envelope);
}

void MirrorRole::forgetLostQuestions(Time now) {
  for (auto question = questions_.begin(); question != questions_.end();) {
    const bool timedOut = now - question->second.askedAt > kAnswerTimeout;
    rotation_ += timedOut ? 1 : 0;
    question = timedOut ? questions_.erase(question) : std::next(question);
  }
}

void MirrorRole::onTick(Time now, MessageSender& sender) {
  std::optional<NodeId> node;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    forgetLostQuestions(now);
    if (now < nextQuestionAt_ || questions_.size() >= kMostQuestions) {
      return;
    }
    const std::optional<Time> proven = mirror_.provenAt(MirrorKind::kRows);
    if (proven && now - *proven < kAskInterval) {
      return;  // This node reads itself.
    }
    rotation_ += proven && now - *proven > kOldProof ? 1 : 0;
    nextQuestionAt_ = now + kAskInterval;
    node = nodeToAsk();
  }
  if (node) {
    ask(*node, now, sender);
  }
}

void MirrorRole::addChanges(MirrorKind kind, uint64_t since, Time now,
                            proto::MirrorAnswer& answer) const {
  const std::optional<MirrorDelta> delta = mirror_.since(kind, since);
  const std::optional<Time> proven = mirror_.provenAt(kind);
  if (!delta && !proven) {
    return;
  }
  proto::MirrorChanges& changes = *answer.add_changes();
  changes.set_kind(static_cast<uint32_t>(kind));
  changes.set_from_revision(delta ? delta->fromRevision : mirror_.revision(kind));
  changes.set_to_revision(delta ? delta->toRevision : mirror_.revision(kind));
  if (proven) {
    changes.set_has_proof(true);
    changes.set_proof_age_microseconds(static_cast<uint64_t>((now - *proven).count()));
  }
  for (const MirrorEntry& entry : delta ? delta->entries : std::vector<MirrorEntry>()) {
    proto::MirrorEntry& out = *changes.add_entries();
    out.set_name(entry.name);
    out.set_revision(entry.revision);
    out.set_gone(entry.isGone);
    out.set_text(entry.text);
  }
}

void MirrorRole::onQuestion(NodeLife from, const proto::MirrorQuestion& question, Time now,
                            MessageSender& sender) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    askers_[from.node] = now;
  }
  proto::Envelope envelope;
  proto::MirrorAnswer& answer = *envelope.mutable_mirror()->mutable_answer();
  answer.set_question_id(question.question_id());
  for (size_t kind = 0; kind < kMirrorKinds; ++kind) {
    const int index = static_cast<int>(kind);
    const uint64_t held = index < question.revisions_size() ? question.revisions(index) : 0;
    addChanges(static_cast<MirrorKind>(kind), held, now, answer);
  }
  sender.send(from.node, envelope);
}

void MirrorRole::noteToldProof(NodeId teller, Time provenAt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::vector<NodeId> nodes = readers();
  if (std::find(nodes.begin(), nodes.end(), teller) != nodes.end()) {
    toldProof_ = std::max(toldProof_, provenAt);
  }
}

void MirrorRole::onAnswer(const proto::MirrorAnswer& answer, Time now) {
  std::optional<Question> asked;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto question = questions_.find(answer.question_id());
    if (question != questions_.end()) {
      asked = question->second;
      questions_.erase(question);
    }
  }
  for (const proto::MirrorChanges& changes : answer.changes()) {
    if (changes.kind() >= kMirrorKinds) {
      continue;
    }
    const auto kind = static_cast<MirrorKind>(changes.kind());
    MirrorDelta delta;
    delta.fromRevision = changes.from_revision();
    delta.toRevision = changes.to_revision();
    for (const proto::MirrorEntry& entry : changes.entries()) {
      delta.entries.push_back(
          MirrorEntry{entry.name(), entry.revision(), entry.gone(), entry.text()});
    }
    mirror_.apply(kind, delta, now);
    if (asked && changes.has_proof()) {
      const Duration age(static_cast<int64_t>(changes.proof_age_microseconds()));
      mirror_.prove(kind, changes.to_revision(), asked->askedAt - age);
      if (kind == MirrorKind::kRows) {
        noteToldProof(asked->to, asked->askedAt - age);
      }
    }
  }
}

void MirrorRole::announce(MirrorKind kind, uint64_t fromRevision, Time now, MessageSender& sender) {
  std::vector<NodeId> audience;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto asker = askers_.begin(); asker != askers_.end();) {
      if (now - asker->second > kAskerMemory) {
        asker = askers_.erase(asker);
      } else {
        audience.push_back(asker->first);
        ++asker;
      }
    }
  }
  if (audience.empty()) {
    return;
  }
  proto::Envelope envelope;
  addChanges(kind, fromRevision, now, *envelope.mutable_mirror()->mutable_answer());
  for (const NodeId node : audience) {
    sender.send(node, envelope);
  }
}

void MirrorRole::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                           MessageSender& sender) {
  const proto::MirrorMessage& message = envelope.mirror();
  if (message.has_question()) {
    onQuestion(from, message.question(), now, sender);
  } else if (message.has_answer()) {
    onAnswer(message.answer(), now);
  }
}

}  // namespace fernmoor::peers
