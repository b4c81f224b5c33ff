#include "peers/mirror_role.h"

#include <algorithm>

#include "common/rendezvous.h"
#include "peers/node_hash.h"

namespace fernmoor::peers {

namespace {

constexpr size_t kFewestReaders = 2;
/// Enough that one is left where a zone is cut off and another reader stops.
constexpr size_t kMostReaders = 3;
constexpr size_t kNodesPerRelay = 16;
/// Nodes that may step in for the readers: enough that one lives where some stop or die together,
/// and few at any size, since each looks at the store by itself.
constexpr size_t kStandbys = 4;
constexpr uint64_t kReaderKey = 0x72656164657273;
constexpr Duration kAskInterval{400000};
/// A question without an answer by then is given up, and another node is asked.
constexpr Duration kAnswerTimeout{300000};
/// A node does not count as a reader before: until it knows the others all of them would.
constexpr Duration kSettleTime{1000000};
/// So long after its start a node that was told nothing has read what it needs to serve by itself.
constexpr Duration kStartTime{3000000};
/// What one more node between the store and this one adds to the age of a proof: the time between
/// its questions and the way.
constexpr Duration kHop{500000};
/// With a proof older than this a relay asks another node; one that no other asks reads each 0.6 s.
constexpr Duration kOldProof{1100000};
/// With a proof older than this a relay reads the store itself.
constexpr Duration kFallbackProof{1500000};
/// The same for nodes that ask relays: these have fallen back and been asked by then.
constexpr Duration kLateFallbackProof{3000000};
/// Nodes that asked within this time are told of changes at once.
constexpr Duration kAskerMemory{2000000};
constexpr size_t kMostQuestions = 64;

bool contains(const std::vector<NodeId>& nodes, NodeId node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

/// @param relays in their order.
/// @return the first few of the relays, each from another zone as far as there are zones.
std::vector<NodeId> readersAmong(const std::vector<NodeId>& relays,
                                 const MembershipSnapshot& members) {
  std::set<ZoneId> zones;
  std::vector<NodeId> ofNewZones;
  std::vector<NodeId> others;
  for (const NodeId relay : relays) {
    const bool isNewZone = zones.insert(members.find(relay)->zone).second;
    (isNewZone ? ofNewZones : others).push_back(relay);
  }
  ofNewZones.insert(ofNewZones.end(), others.begin(), others.end());
  ofNewZones.resize(std::min(kMostReaders, relays.size()));
  return ofNewZones;
}

}  // namespace

RelayTiers relayTiers(const MembershipSnapshot& members) {
  std::map<ZoneId, std::vector<NodeId>> byZone;
  std::vector<NodeId> all;
  for (const Member& member : members.members) {
    if (member.state == MemberState::kAlive) {
      byZone[member.zone].push_back(member.life.node);
      all.push_back(member.life.node);
    }
  }
  RelayTiers tiers;
  if (all.size() <= kNodesPerRelay) {
    tiers.readers = rendezvousTop(kReaderKey, std::move(all), kFewestReaders, nodeHash);
    tiers.relays = tiers.readers;
    return tiers;
  }
  for (auto& [zone, nodes] : byZone) {
    const size_t count = nodes.size() / kNodesPerRelay + 1;
    const std::vector<NodeId> chosen = rendezvousTop(kReaderKey, std::move(nodes), count, nodeHash);
    tiers.relays.insert(tiers.relays.end(), chosen.begin(), chosen.end());
  }
  const size_t count = tiers.relays.size();
  tiers.relays = rendezvousTop(kReaderKey, std::move(tiers.relays), count, nodeHash);
  tiers.readers = readersAmong(tiers.relays, members);
  return tiers;
}

/// Relays ask the readers first and the relays before them in the order then, so that the first one
/// which the store serves reads for the rest, and no two relieve each other; other nodes ask the
/// relays, those of their zone first. Last come all nodes, which read themselves where the store
/// turns all relays away.
MirrorRole::Duties MirrorRole::dutiesOf(NodeId self, const MembershipSnapshot& members) {
  const RelayTiers tiers = relayTiers(members);
  Duties duties;
  duties.isReader = contains(tiers.readers, self);
  const bool isRelay = contains(tiers.relays, self);
  duties.isBelowRelays = !isRelay && tiers.relays.size() > tiers.readers.size();
  duties.above.insert(tiers.readers.begin(), tiers.readers.end());
  // All relays are above a node that is none.
  const auto ownPlace = std::find(tiers.relays.begin(), tiers.relays.end(), self);
  duties.above.insert(tiers.relays.begin(), ownPlace);
  const Member* const own = members.find(self);
  const ZoneId zone = own == nullptr ? ZoneId() : own->zone;
  for (const Member& member : members.members) {
    if (member.state == MemberState::kAlive && member.life.node != self) {
      duties.askOrder.push_back(member.life.node);
    }
  }
  duties.isAlone = duties.askOrder.empty();
  const size_t count = duties.askOrder.size();
  duties.askOrder = rendezvousTop(nodeHash(self), std::move(duties.askOrder), count, nodeHash);
  const auto moveToFront = [&](auto isFirst) {
    std::stable_partition(duties.askOrder.begin(), duties.askOrder.end(), isFirst);
  };
  moveToFront([&](NodeId node) { return members.find(node)->zone == zone; });
  moveToFront([&](NodeId node) { return contains(tiers.relays, node); });
  if (isRelay) {
    moveToFront([&](NodeId node) { return duties.above.count(node) > 0; });
    moveToFront([&](NodeId node) { return contains(tiers.readers, node); });
  }
  return duties;
}

void MirrorRole::setMembers(std::shared_ptr<const MembershipSnapshot> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (members == members_) {
    return;
  }
  members_ = std::move(members);
  duties_ = members_ == nullptr ? Duties() : dutiesOf(self_, *members_);
}

ReadDuty MirrorRole::duty(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool wasTold = toldProof_ != Time();
  const Duration age = now - startedAt_;
  if (age < kSettleTime) {
    return wasTold ? ReadDuty::kNone : ReadDuty::kStart;
  }
  if (duties_.isAlone || duties_.isReader) {
    return ReadDuty::kReader;
  }
  const Duration trusted = duties_.isBelowRelays ? kLateFallbackProof : kFallbackProof;
  if (now - toldProof_ <= trusted) {
    return ReadDuty::kNone;
  }
  return !wasTold && age < kStartTime ? ReadDuty::kStart : ReadDuty::kFallback;
}

std::optional<size_t> MirrorRole::standbyRank() const {
  std::vector<NodeId> living;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Member& member : members_ == nullptr ? std::vector<Member>() : members_->members) {
      if (member.state != MemberState::kSuspect) {
        living.push_back(member.life.node);
      }
    }
  }
  const std::vector<NodeId> first =
      rendezvousTop(kReaderKey, std::move(living), kStandbys, nodeHash);
  const auto own = std::find(first.begin(), first.end(), self_);
  return own == first.end() ? std::nullopt : std::optional<size_t>(own - first.begin());
}

std::optional<NodeId> MirrorRole::nodeToAsk() const {
  const std::vector<NodeId>& nodes = duties_.askOrder;
  return nodes.empty() ? std::nullopt : std::optional<NodeId>(nodes[rotation_ % nodes.size()]);
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
  standstills_.tick(now);
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
    if (readsItself() && !isAbove(nodeToAsk())) {
      rotation_ = 0;  // Those whose duty it is may relieve this node.
    }
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

void MirrorRole::addNamedVersions(Time now, proto::MirrorAnswer& answer) const {
  for (const YoungVersion& young : wanted_.youngVersions(now)) {
    proto::MirrorNamedVersion& out = *answer.add_named();
    out.set_model(young.model);
    out.set_version(young.version);
    out.set_age_microseconds(static_cast<uint64_t>(young.age.count()));
  }
}

void MirrorRole::takeNamedVersions(const proto::MirrorAnswer& answer, Time toldAt, Time now) {
  for (const proto::MirrorNamedVersion& named : answer.named()) {
    const Duration age(static_cast<int64_t>(named.age_microseconds()));
    wanted_.learnSince(named.model(), named.version(), toldAt - age, now);
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
  addNamedVersions(now, answer);
  sender.send(from.node, envelope);
}

void MirrorRole::noteToldProof(NodeId teller, std::optional<Time> provenAt, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Duration old = duties_.isBelowRelays ? kOldProof + kHop : kOldProof;
  if (!provenAt || now - *provenAt > old) {
    ++rotation_;
  }
  if (!provenAt) {
    return;
  }
  newestTold_ = std::max(newestTold_, *provenAt);
  if (duties_.above.count(teller) > 0) {
    toldProof_ = std::max(toldProof_, *provenAt);
  }
}

bool MirrorRole::readsItself() const {
  const std::optional<Time> proven = mirror_.provenAt(MirrorKind::kRows);
  return proven && *proven > newestTold_;
}

bool MirrorRole::isAbove(std::optional<NodeId> node) const {
  return node && duties_.above.count(*node) > 0;
}

void MirrorRole::onAnswer(const proto::MirrorAnswer& answer, Time now, MessageSender& sender) {
  std::optional<Question> asked;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto question = questions_.find(answer.question_id());
    if (question != questions_.end()) {
      asked = question->second;
      questions_.erase(question);
    }
  }
  // An answer is as old as its question; what was told unasked came while this node ran.
  const Time toldAt = asked ? asked->askedAt : ranUntil(now);
  takeNamedVersions(answer, toldAt, now);
  std::optional<Time> rowsProof;
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
    const uint64_t before = mirror_.revision(kind);
    const bool isNew = mirror_.apply(kind, delta, ranUntil(now)) == MirrorOutcome::kApplied;
    if (isNew && before != 0 && !delta.entries.empty()) {
      announce(kind, delta.fromRevision, now, sender);
    }
    if (asked && changes.has_proof()) {
      const Duration age(static_cast<int64_t>(changes.proof_age_microseconds()));
      mirror_.prove(kind, changes.to_revision(), asked->askedAt - age);
      if (kind == MirrorKind::kRows) {
        rowsProof = asked->askedAt - age;
      }
    }
  }
  if (asked) {
    noteToldProof(asked->to, rowsProof, now);
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
  proto::MirrorAnswer& answer = *envelope.mutable_mirror()->mutable_answer();
  addChanges(kind, fromRevision, now, answer);
  if (kind == MirrorKind::kWeights) {
    addNamedVersions(now, answer);
  }
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
    onAnswer(message.answer(), now, sender);
  }
}

}  // namespace fernmoor::peers
