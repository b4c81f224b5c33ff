#include "peers/mirror_role.h"

#include <algorithm>

#include "common/log.h"
#include "common/rendezvous.h"
#include "common/store_revision.h"
#include "peers/node_hash.h"
#include "peers/packed_entries.h"

namespace fernmoor::peers {

namespace {

/// Nodes that may stand in for the readers: enough that one survives if several stop or die
/// together, and few in a deployment of any size, because each of them polls the store by itself.
constexpr size_t kStandbyCount = 4;
constexpr uint64_t kStandbyKey = 0x72656164657273;
constexpr Duration kPollInterval{400000};
/// A newly started node takes no duty until its view of the members has settled: until nodes know
/// each other, each of them would become a reader. A view has settled once it has not grown by more
/// than kSettledGrowth within this time.
constexpr Duration kSettleTime{1000000};
constexpr double kSettledGrowth = 0.1;
/// The same for a node that knows no other one: the seeds may be too busy with others to answer.
constexpr Duration kAloneSettleTime{3000000};
/// A node that has received nothing from others within this time after its view settled has read by
/// itself what it needs to serve.
constexpr Duration kStartupTime{2000000};
/// Age that one more hop between the store and this node adds to a confirmed read: the interval
/// between questions plus the transit time.
constexpr Duration kHopDelay{500000};
/// A relay whose last confirmed read is older than this asks another node. A reader
/// confirms its copy every 0.6 s by itself, even if no other node asks it.
constexpr Duration kStaleReadAge{1100000};
/// A relay whose last confirmed read is older than this reads the store itself.
constexpr Duration kFallbackReadAge{1500000};
/// The same for nodes that poll relays: by then the relays have fallen back and have been polled.
constexpr Duration kLateFallbackReadAge{3000000};
/// Changes are pushed at once to the nodes that asked within this time.
constexpr Duration kAskerRetention{2000000};
constexpr size_t kMaxOpenQuestions = 64;
/// A node that was offered changes counts as up to date for this time before it holds them: a pull
/// is queued at once, and most tables cross the slowest link within this time.
constexpr Duration kPullGrace{1000000};
/// Maximum bytes queued for all nodes together; pulls beyond it are deferred. This is half of the
/// capacity of the transport's queue; the rest is reserved for other messages.
constexpr size_t kMaxQueuedBytes = 2U << 20U;

bool contains(const std::vector<NodeId>& nodes, NodeId node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

}  // namespace

/// Relays ask the readers first and then the relays ranked before them, so that the first relay
/// that the store serves reads for the rest and no two relays relieve each other of reading. Other
/// nodes ask the relays, those of their own zone first. All remaining nodes come last; they read
/// the store themselves if it rejects all relays.
MirrorRole::Duties MirrorRole::dutiesOf(NodeId self, const MembershipSnapshot& members) {
  const RelayTiers tiers = relayTiers(members);
  Duties duties;
  duties.isReader = contains(tiers.readers, self);
  const bool isRelay = contains(tiers.relays, self);
  duties.isBelowRelays = !isRelay && tiers.relays.size() > tiers.readers.size();
  duties.upstream.insert(tiers.readers.begin(), tiers.readers.end());
  // All relays are upstream of a node that is not a relay.
  const auto ownPlace = std::find(tiers.relays.begin(), tiers.relays.end(), self);
  duties.upstream.insert(tiers.relays.begin(), ownPlace);
  const Member* const own = members.find(self);
  const ZoneId zone = own == nullptr ? ZoneId() : own->zone;
  for (const Member& member : members.members) {
    if (member.state == MemberState::kAlive && member.life.node != self) {
      duties.pollOrder.push_back(member.life.node);
    }
  }
  duties.isAlone = duties.pollOrder.empty();
  const size_t count = duties.pollOrder.size();
  duties.pollOrder = rendezvousTop(nodeHash(self), std::move(duties.pollOrder), count, nodeHash);
  const auto moveToFront = [&](auto isFirst) {
    std::stable_partition(duties.pollOrder.begin(), duties.pollOrder.end(), isFirst);
  };
  moveToFront([&](NodeId node) { return members.find(node)->zone == zone; });
  moveToFront([&](NodeId node) { return contains(tiers.relays, node); });
  if (isRelay) {
    moveToFront([&](NodeId node) { return duties.upstream.count(node) > 0; });
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

void MirrorRole::noteGrowth(Time now) {
  if (settledAt_) {
    return;
  }
  const size_t known = duties_.pollOrder.size();
  const bool isFirst = grownAt_ == Time();
  const bool hasGrown =
      static_cast<double>(known) > static_cast<double>(membersAtGrowth_) * (1 + kSettledGrowth);
  if (isFirst || hasGrown) {
    grownAt_ = isFirst ? startedAt_ : now;
    membersAtGrowth_ = known;
  }
  settledAt_ = settledAt(now);
}

std::optional<Time> MirrorRole::settledAt(Time now) const {
  if (settledAt_) {
    return settledAt_;
  }
  const Duration needed = duties_.isAlone ? kAloneSettleTime : kSettleTime;
  const Time settled = std::max(startedAt_, grownAt_) + needed;
  return now < settled ? std::nullopt : std::optional(settled);
}

ReadDuty MirrorRole::duty(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool wasTold = upstreamReadAt_ != Time();
  const std::optional<Time> settled = settledAt(now);
  if (!settled) {
    return wasTold ? ReadDuty::kNone : ReadDuty::kStart;
  }
  if (duties_.isAlone || duties_.isReader) {
    return ReadDuty::kReader;
  }
  const Duration trusted = duties_.isBelowRelays ? kLateFallbackReadAge : kFallbackReadAge;
  if (now - upstreamReadAt_ <= trusted) {
    return ReadDuty::kNone;
  }
  return !wasTold && now < *settled + kStartupTime ? ReadDuty::kStart : ReadDuty::kFallback;
}

std::optional<size_t> MirrorRole::standbyRank() const {
  std::vector<NodeId> living;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Member& member : members_ == nullptr ? std::vector<Member>() : members_->members) {
      if (member.state != MemberState::kSuspect && !member.reachesNoEngine) {
        living.push_back(member.life.node);
      }
    }
  }
  const std::vector<NodeId> first =
      rendezvousTop(kStandbyKey, std::move(living), kStandbyCount, nodeHash);
  const auto own = std::find(first.begin(), first.end(), self_);
  return own == first.end() ? std::nullopt : std::optional<size_t>(own - first.begin());
}

std::optional<NodeId> MirrorRole::nodeToAsk() const {
  const std::vector<NodeId>& nodes = duties_.pollOrder;
  return nodes.empty() ? std::nullopt : std::optional<NodeId>(nodes[pollOffset_ % nodes.size()]);
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
    noteGrowth(now);
    pollOffset_ += questions_.expire(now);
    if (now < nextPollAt_ || questions_.size() >= kMaxOpenQuestions) {
      return;
    }
    const std::optional<Time> confirmed = mirror_.confirmedAt(MirrorKind::kRows);
    if (confirmed && now - *confirmed < kPollInterval) {
      return;  // This node reads the store itself.
    }
    if (hasNewestRead() && !isUpstream(nodeToAsk())) {
      pollOffset_ = 0;  // Upstream nodes may be able to relieve this node of reading.
    }
    nextPollAt_ = now + kPollInterval;
    node = nodeToAsk();
  }
  if (node) {
    ask(*node, now, sender);
  }
}

void MirrorRole::addKind(MirrorKind kind, uint64_t held, bool isPulled, Time now,
                         MessageSender& sender, proto::MirrorAnswer& answer) {
  // Read before the content that it confirms: otherwise a change that is applied and confirmed in
  // between would be confirmed without being part of the content.
  const std::optional<Time> confirmed = mirror_.confirmedAt(kind);
  const bool isShort = content_.fitsInDatagram(kind, held);
  const MirrorContentPtr missing = isShort || isPulled ? content_.since(kind, held) : nullptr;
  const size_t waiting = sender.waitingBytes();
  const bool hasRoom =
      isShort || waiting == 0 || (missing && waiting + missing->bytes <= kMaxQueuedBytes);
  proto::MirrorChanges changes;
  changes.set_kind(static_cast<uint32_t>(kind));
  changes.set_from_revision(mirror_.revision(kind));
  changes.set_to_revision(changes.from_revision());
  if (missing && hasRoom) {
    changes = missing->changes;
  } else if (!isShort) {
    proto::MirrorOffer& offer = *answer.add_offers();
    offer.set_kind(static_cast<uint32_t>(kind));
    offer.set_to_revision(changes.to_revision());
  }
  if (confirmed) {
    changes.set_has_proof(true);
    changes.set_proof_age_microseconds(static_cast<uint64_t>((now - *confirmed).count()));
  }
  if (confirmed || (missing && hasRoom)) {
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

void MirrorRole::applyTimes(const proto::MirrorAnswer& answer, Time askedAt, Time now) {
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
    recentAskers_[from.node] = now;
  }
  // A node that pulls again while an answer to it is queued has let its question expire. It is told
  // to wait for the queued answer instead of getting a second one.
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

void MirrorRole::noteConfirmedRead(NodeId teller, std::optional<Time> confirmedAt, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Duration old = duties_.isBelowRelays ? kStaleReadAge + kHopDelay : kStaleReadAge;
  if (!confirmedAt || now - *confirmedAt > old) {
    ++pollOffset_;
  }
  if (!confirmedAt) {
    return;
  }
  newestPeerReadAt_ = std::max(newestPeerReadAt_, *confirmedAt);
  if (duties_.upstream.count(teller) > 0) {
    upstreamReadAt_ = std::max(upstreamReadAt_, *confirmedAt);
  }
}

bool MirrorRole::holdsOrPulls(uint64_t rows, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const uint64_t held = mirror_.revision(MirrorKind::kRows);
  return held >= rows || (held != 0 && missingSince_ && now - *missingSince_ <= kPullGrace);
}

bool MirrorRole::hasNewestRead() const {
  const std::optional<Time> confirmed = mirror_.confirmedAt(MirrorKind::kRows);
  return confirmed && *confirmed > newestPeerReadAt_;
}

bool MirrorRole::isUpstream(std::optional<NodeId> node) const {
  return node && duties_.upstream.count(*node) > 0;
}

void MirrorRole::applyChanges(const proto::MirrorChanges& changes, Time now,
                              MessageSender& sender) {
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

void MirrorRole::handleOffers(NodeId from, const proto::MirrorAnswer& answer, Time now,
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
    missingSince_ = missingSince_.value_or(now);
  }
  pull(from, now, sender);
}

void MirrorRole::closeCompletedPull() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (size_t kind = 0; kind < kMirrorKinds; ++kind) {
    if (mirror_.revision(static_cast<MirrorKind>(kind)) < offered_[kind]) {
      return;
    }
  }
  missingSince_.reset();
  questions_.completePull();
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
    applyTimes(answer, asked->askedAt, now);
  }
  std::optional<Time> rowsConfirmedAt;
  uint64_t confirmedRevision = 0;
  for (const proto::MirrorChanges& changes : answer.changes()) {
    if (changes.kind() >= kMirrorKinds) {
      continue;
    }
    const auto kind = static_cast<MirrorKind>(changes.kind());
    applyChanges(changes, now, sender);
    if (asked && changes.has_proof()) {
      const Duration age(static_cast<int64_t>(changes.proof_age_microseconds()));
      mirror_.confirm(kind, changes.to_revision(), asked->askedAt - age);
      if (kind == MirrorKind::kRows) {
        rowsConfirmedAt = asked->askedAt - age;
        confirmedRevision = changes.to_revision();
      }
    }
  }
  closeCompletedPull();
  // A pull that is answered by an offer was deferred; the next regular question comes soon enough.
  if (asked && asked->pulls) {
    return;
  }
  handleOffers(from.node, answer, now, sender);
  if (asked) {
    // A read of a revision that this node neither holds nor is pulling confirms nothing about its
    // copy.
    noteConfirmedRead(asked->to,
                      holdsOrPulls(confirmedRevision, now) ? rowsConfirmedAt : std::nullopt, now);
  }
}

void MirrorRole::announce(MirrorKind kind, uint64_t fromRevision, Time now, MessageSender& sender) {
  std::vector<NodeId> audience;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto asker = recentAskers_.begin(); asker != recentAskers_.end();) {
      if (now - asker->second > kAskerRetention) {
        asker = recentAskers_.erase(asker);
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
