#include "peers/mirror_role.h"

#include <algorithm>

#include "common/log.h"
#include "common/rendezvous.h"
#include "common/store_revision.h"
#include "peers/node_hash.h"
#include "peers/packed_entries.h"

namespace fernmoor::peers {

namespace {

/// Nodes that may step in for the readers: enough that one lives where some stop or die together,
/// and few at any size, since each looks at the store by itself.
constexpr size_t kStandbys = 4;
constexpr uint64_t kStandbyKey = 0x72656164657273;
constexpr Duration kAskInterval{400000};
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
/// A node that has been offered changes counts as told so long before it has them: what is pulled
/// is queued within a moment, and most tables cross the narrowest link within this.
constexpr Duration kPullGrace{1000000};
/// Bytes that wait for all nodes together; beyond them those that pull are put off. Half of what
/// the transport holds, the rest is for other messages.
constexpr size_t kMostWaiting = 2U << 20U;

bool contains(const std::vector<NodeId>& nodes, NodeId node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

}  // namespace

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
      rendezvousTop(kStandbyKey, std::move(living), kStandbys, nodeHash);
  const auto own = std::find(first.begin(), first.end(), self_);
  return own == first.end() ? std::nullopt : std::optional<size_t>(own - first.begin());
}

std::optional<NodeId> MirrorRole::nodeToAsk() const {
  const std::vector<NodeId>& nodes = duties_.askOrder;
  return nodes.empty() ? std::nullopt : std::optional<NodeId>(nodes[rotation_ % nodes.size()]);
}

void MirrorRole::sendQuestion(NodeId to, uint32_t id, bool pulls, MessageSender& sender) {
  proto::Envelope envelope;
  proto::MirrorQuestion& question = *envelope.mutable_mirror()->mutable_question();
  question.set_question_id(id);
  question.set_pulls(pulls);
  for (size_t kind = 0; kind < kMirrorKinds; ++kind) {
    question.add_revisions(mirror_.revision(static_cast<MirrorKind>(kind)));
  }
  sender.send(to, envelope);
}

void MirrorRole::ask(NodeId reader, Time now, MessageSender& sender) {
  uint32_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    id = questions_.ask(reader, now);
  }
  sendQuestion(reader, id, false, sender);
}

void MirrorRole::pull(NodeId from, Time now, MessageSender& sender) {
  uint32_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (questions_.isPulling()) {
      return;
    }
    id = questions_.pull(from, now);
  }
  sendQuestion(from, id, true, sender);
}

void MirrorRole::onTick(Time now, MessageSender& sender) {
  std::optional<NodeId> node;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    rotation_ += questions_.giveUp(now);
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

void MirrorRole::addKind(MirrorKind kind, uint64_t held, bool isPulled, Time now,
                         MessageSender& sender, proto::MirrorAnswer& answer) {
  // Before what it is to prove: a change that is applied and proven in between is not in that.
  const std::optional<Time> proven = mirror_.provenAt(kind);
  const bool isShort = content_.isShort(kind, held);
  const MirrorContentPtr lacks = isShort || isPulled ? content_.since(kind, held) : nullptr;
  const size_t waiting = sender.waitingBytes();
  const bool hasRoom = isShort || waiting == 0 || (lacks && waiting + lacks->bytes <= kMostWaiting);
  proto::MirrorChanges changes;
  changes.set_kind(static_cast<uint32_t>(kind));
  changes.set_from_revision(mirror_.revision(kind));
  changes.set_to_revision(changes.from_revision());
  if (lacks && hasRoom) {
    changes = lacks->changes;
  } else if (!isShort) {
    proto::MirrorOffer& offer = *answer.add_offers();
    offer.set_kind(static_cast<uint32_t>(kind));
    offer.set_to_revision(changes.to_revision());
  }
  if (proven) {
    changes.set_has_proof(true);
    changes.set_proof_age_microseconds(static_cast<uint64_t>((now - *proven).count()));
  }
  if (proven || (lacks && hasRoom)) {
    *answer.add_changes() = std::move(changes);
  }
}

void MirrorRole::addTimes(Time now, proto::MirrorAnswer& answer) const {
  if (const std::optional<RevisionTime> newest = revisionTimes_.newest()) {
    answer.set_store_revision(newest->revision);
    answer.set_store_revision_age_microseconds(static_cast<uint64_t>((now - newest->at).count()));
  }
  if (const std::optional<EraChange> change = revisionTimes_.change()) {
    const RevisionTime& before = change->lastBefore;
    answer.set_former_revision(before.revision);
    answer.set_former_revision_age_microseconds(static_cast<uint64_t>((now - before.at).count()));
    answer.set_era_age_microseconds(static_cast<uint64_t>((now - change->seenAt).count()));
  }
  for (const RecentVersion& young : wanted_.recentVersions(now)) {
    proto::MirrorNamedVersion& out = *answer.add_named();
    out.set_model(young.model);
    out.set_version(young.version);
    out.set_age_microseconds(static_cast<uint64_t>(young.age.count()));
  }
}

void MirrorRole::takeTimes(const proto::MirrorAnswer& answer, Time askedAt, Time now) {
  if (answer.store_revision() != 0) {
    const Duration age(static_cast<int64_t>(answer.store_revision_age_microseconds()));
    revisionTimes_.note({answer.store_revision(), askedAt - age});
    revisionTimes_.noteTold();
  }
  if (answer.former_revision() != 0) {
    const Duration age(static_cast<int64_t>(answer.former_revision_age_microseconds()));
    const Duration eraAge(static_cast<int64_t>(answer.era_age_microseconds()));
    revisionTimes_.noteChange(
        eraOf(answer.store_revision()),
        EraChange{{answer.former_revision(), askedAt - age}, askedAt - eraAge});
  }
  for (const proto::MirrorNamedVersion& named : answer.named()) {
    const Duration age(static_cast<int64_t>(named.age_microseconds()));
    wanted_.learnSince(named.model(), named.version(), askedAt - age, now);
  }
}

void MirrorRole::onQuestion(NodeLife from, const proto::MirrorQuestion& question, Time now,
                            MessageSender& sender) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    askers_[from.node] = now;
  }
  // Who pulls anew while an answer to it waits has given that up; it waits for the same again.
  const bool isQueued = question.pulls() && sender.waitingBytes(from.node) > 0;
  if (!isQueued) {
    proto::Envelope envelope;
    proto::MirrorAnswer& answer = *envelope.mutable_mirror()->mutable_answer();
    answer.set_question_id(question.question_id());
    for (size_t kind = 0; kind < kMirrorKinds; ++kind) {
      const int index = static_cast<int>(kind);
      const uint64_t held = index < question.revisions_size() ? question.revisions(index) : 0;
      addKind(static_cast<MirrorKind>(kind), held, question.pulls(), now, sender, answer);
    }
    addTimes(now, answer);
    sender.send(from.node, envelope);
  }
  if (question.pulls() && sender.waitingBytes(from.node) > 0) {
    proto::Envelope notice;
    proto::MirrorAnswer& queued = *notice.mutable_mirror()->mutable_answer();
    queued.set_question_id(question.question_id());
    queued.set_queued_bytes(sender.waitingBytes());
    sender.send(from.node, notice);
  }
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

bool MirrorRole::isBeingBrought(uint64_t rows, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const uint64_t held = mirror_.revision(MirrorKind::kRows);
  return held >= rows || (held != 0 && lacksSince_ && now - *lacksSince_ <= kPullGrace);
}

bool MirrorRole::readsItself() const {
  const std::optional<Time> proven = mirror_.provenAt(MirrorKind::kRows);
  return proven && *proven > newestTold_;
}

bool MirrorRole::isAbove(std::optional<NodeId> node) const {
  return node && duties_.above.count(*node) > 0;
}

void MirrorRole::takeChanges(const proto::MirrorChanges& changes, Time now, MessageSender& sender) {
  const auto kind = static_cast<MirrorKind>(changes.kind());
  Result<std::vector<MirrorEntry>> entries = unpackEntries(changes);
  if (!isOk(entries)) {
    logWarning(errorOf(entries).message);
    return;
  }
  MirrorDelta delta;
  delta.fromRevision = changes.from_revision();
  delta.toRevision = changes.to_revision();
  delta.entries = valueOf(std::move(entries));
  const uint64_t before = mirror_.revision(kind);
  const bool hasEntries = !delta.entries.empty();
  const bool isNew = mirror_.apply(kind, delta) == MirrorOutcome::kApplied;
  if (isNew && before != 0 && hasEntries) {
    announce(kind, delta.fromRevision == 0 ? before : delta.fromRevision, now, sender);
  }
}

void MirrorRole::takeOffers(NodeId from, const proto::MirrorAnswer& answer, Time now,
                            MessageSender& sender) {
  bool isLacking = false;
  for (const proto::MirrorOffer& offer : answer.offers()) {
    if (offer.kind() < kMirrorKinds) {
      isLacking |= mirror_.revision(static_cast<MirrorKind>(offer.kind())) < offer.to_revision();
      const std::lock_guard<std::mutex> lock(mutex_);
      uint64_t& offered = offered_[offer.kind()];
      offered = std::max(offered, offer.to_revision());
    }
  }
  if (!isLacking) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    lacksSince_ = lacksSince_.value_or(now);
  }
  pull(from, now, sender);
}

void MirrorRole::noteHeld() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (size_t kind = 0; kind < kMirrorKinds; ++kind) {
    if (mirror_.revision(static_cast<MirrorKind>(kind)) < offered_[kind]) {
      return;
    }
  }
  lacksSince_.reset();
  questions_.notePulled();
}

void MirrorRole::onAnswer(NodeLife from, const proto::MirrorAnswer& answer, Time now,
                          MessageSender& sender) {
  std::optional<OpenQuestion> asked;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (answer.queued_bytes() > 0) {
      questions_.noteQueued(answer.question_id(), from.node, answer.queued_bytes(), now);
      return;
    }
    asked = questions_.takeAnswered(answer.question_id(), from.node);
  }
  if (asked) {
    takeTimes(answer, asked->askedAt, now);
  }
  std::optional<Time> rowsProof;
  uint64_t provenRows = 0;
  for (const proto::MirrorChanges& changes : answer.changes()) {
    if (changes.kind() >= kMirrorKinds) {
      continue;
    }
    const auto kind = static_cast<MirrorKind>(changes.kind());
    takeChanges(changes, now, sender);
    if (asked && changes.has_proof()) {
      const Duration age(static_cast<int64_t>(changes.proof_age_microseconds()));
      mirror_.prove(kind, changes.to_revision(), asked->askedAt - age);
      if (kind == MirrorKind::kRows) {
        rowsProof = asked->askedAt - age;
        provenRows = changes.to_revision();
      }
    }
  }
  noteHeld();
  // A pull that is answered by an offer was put off: the next question comes soon enough.
  if (asked && asked->pulls) {
    return;
  }
  takeOffers(from.node, answer, now, sender);
  if (asked) {
    // What this node does not hold and does not get either proves nothing here.
    noteToldProof(asked->to, isBeingBrought(provenRows, now) ? rowsProof : std::nullopt, now);
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
  addKind(kind, fromRevision, false, now, sender, answer);
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
    onAnswer(from, message.answer(), now, sender);
  }
}

}  // namespace fernmoor::peers
