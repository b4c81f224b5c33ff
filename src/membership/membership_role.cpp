#include "membership/membership_role.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "membership/member_codec.h"
#include "membership/snapshot_builder.h"

namespace fernmoor {

namespace {

/// Bounds the work that one message can cause.
constexpr int kMaximumUpdatesPerMessage = 512;

MemberStatus initialStatus(const Member& self) {
  MemberStatus status;
  status.life = self.life;
  status.draining = self.state == MemberState::kDraining;
  status.tableVersion = self.tableVersion;
  return status;
}

MemberIdentity identityOf(const Member& self) {
  return MemberIdentity{self.zone, self.region, self.peerAddress, self.httpAddress,
                        self.linkMegabits};
}

void sendAll(const std::vector<OutgoingMessage>& messages, MessageSender& sender) {
  for (const OutgoingMessage& message : messages) {
    sender.send(message.to, message.envelope);
  }
}

}  // namespace

MembershipRole::MembershipRole(const MembershipSettings& settings)
    : knobs_(settings.knobs),
      random_(settings.randomSeed),
      table_(initialStatus(settings.self), identityOf(settings.self), knobs_),
      messenger_(table_, updates_, versions_, knobs_),
      prober_(table_, messenger_, random_, knobs_),
      synchronizer_(table_, messenger_, random_, knobs_) {
  assert(settings.self.life.node.value() != 0);
  synchronizer_.addSeeds(settings.seeds);
  versions_.noteInForce(settings.self.life.node, settings.self.tableVersion, 0);
  publishIfChanged();
}

void MembershipRole::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                               MessageSender& sender) {
  std::vector<OutgoingMessage> outbox;
  {
    const RankedLock lock(mutex_);
    const bool own = from.node == table_.selfId();
    if (isSilent() || own || !envelope.has_membership()) {
      return;
    }
    handle(from, envelope.membership(), now);
    outbox = messenger_.takeOutbox();
    if (addressesChanged_ && !canReach(outbox)) {
      publishIfChanged();
    }
  }
  sendAll(outbox, sender);
}

void MembershipRole::onTick(Time now, MessageSender& sender) {
  std::vector<OutgoingMessage> outbox;
  {
    const RankedLock lock(mutex_);
    if (isSilent()) {
      return;
    }
    notePause(now);
    takeFailures(prober_.onTick(now), now);
    takeExpiry(table_.expire(now));
    synchronizer_.onTick(now);
    gossip(now);
    publishIfChanged();
    outbox = messenger_.takeOutbox();
  }
  sendAll(outbox, sender);
}

Member MembershipRole::self() const {
  return snapshot()->selfMember();
}

std::vector<Member> MembershipRole::members() const {
  return snapshot()->members;
}

std::shared_ptr<const MembershipSnapshot> MembershipRole::snapshot() const {
  return std::atomic_load(&snapshot_);
}

void MembershipRole::addSeeds(const std::vector<Seed>& seeds) {
  const RankedLock lock(mutex_);
  synchronizer_.addSeeds(seeds);
  addressesChanged_ = true;
  publishIfChanged();
}

void MembershipRole::replaceSeeds(const std::vector<Seed>& seeds) {
  const RankedLock lock(mutex_);
  synchronizer_.replaceSeeds(seeds);
  addressesChanged_ = true;
  publishIfChanged();
}

void MembershipRole::setRegistered(const std::vector<Seed>& nodes) {
  const RankedLock lock(mutex_);
  synchronizer_.setRegistered(nodes);
  addressesChanged_ = true;
  publishIfChanged();
}

void MembershipRole::setLocalTableVersion(TableVersion version) {
  const RankedLock lock(mutex_);
  if (version <= table_.self().status.tableVersion) {
    return;
  }
  table_.setSelfTableVersion(version);
  versions_.noteInForce(table_.selfId(), version, messenger_.gossipRounds());
  versions_.noteSetGrew(messenger_.gossipRounds());
  publishIfChanged();
}

void MembershipRole::setDraining(bool draining) {
  const RankedLock lock(mutex_);
  if (table_.self().status.draining == draining) {
    return;
  }
  table_.setSelfDraining(draining);
  updates_.add(table_.selfId(), false);
  publishIfChanged();
}

void MembershipRole::setReachesNoEngine(bool reachesNone) {
  const RankedLock lock(mutex_);
  if (table_.self().status.reachesNoEngine == reachesNone) {
    return;
  }
  table_.setSelfReachesNoEngine(reachesNone);
  updates_.add(table_.selfId(), false);
  publishIfChanged();
}

void MembershipRole::leave(MessageSender& sender) {
  std::vector<OutgoingMessage> outbox;
  {
    const RankedLock lock(mutex_);
    if (isSilent()) {
      return;
    }
    table_.setSelfLeft();
    updates_.add(table_.selfId(), false);
    const auto told = static_cast<size_t>(messenger_.retransmitLimit());
    for (const NodeId peer : table_.randomAlivePeers(told, random_)) {
      messenger_.gossip(peer, false);
    }
    outbox = messenger_.takeOutbox();
  }
  sendAll(outbox, sender);
}

bool MembershipRole::joined() const {
  const RankedLock lock(mutex_);
  return synchronizer_.joined();
}

std::optional<Incarnation> MembershipRole::supersededBy() const {
  const RankedLock lock(mutex_);
  return supersededBy_;
}

MembershipCounters MembershipRole::counters() const {
  const RankedLock lock(mutex_);
  return counters_;
}

bool MembershipRole::isSilent() const {
  return supersededBy_ || table_.self().status.health == MemberHealth::kLeft;
}

void MembershipRole::handle(NodeLife from, const proto::MembershipMessage& message, Time now) {
  const MemberEntry* const known = table_.find(from.node);
  const bool formerLife = known != nullptr && known->status.life.incarnation > from.incarnation;
  if (formerLife) {
    // Late, or from a process that does not know yet that it was superseded; the ack informs it.
    if (message.has_ping()) {
      messenger_.ack(from.node, message.ping().nonce());
    }
    return;
  }
  // Updates first: the one about the sender may carry its identity.
  const bool newLives = takeUpdates(from.node, message, now);
  if (!takeHeartbeat(from, message, now)) {
    return;
  }
  takeVersions(from, message);
  takeKind(from, message, newLives, now);
}

bool MembershipRole::canReach(const std::vector<OutgoingMessage>& messages) const {
  const auto published = snapshot();
  return std::all_of(messages.begin(), messages.end(), [&](const OutgoingMessage& message) {
    const MemberEntry* const entry = table_.find(message.to);
    return entry == nullptr || published->addressOf(message.to) == entry->identity.peerAddress;
  });
}

bool MembershipRole::takeHeartbeat(NodeLife from, const proto::MembershipMessage& message,
                                   Time now) {
  proto::MemberUpdate heartbeat;
  heartbeat.set_node_id(from.node.value());
  heartbeat.set_incarnation(from.incarnation.value());
  heartbeat.set_sequence(message.sequence());
  heartbeat.set_draining(message.draining());
  heartbeat.set_reaches_no_engine(message.reaches_no_engine());
  heartbeat.set_table_version(message.table_version());
  const std::optional<MemberStatement> statement = decodeStatement(heartbeat);
  if (!statement) {
    ++counters_.statementsRejected;
    return false;
  }
  take(from.node, *statement, now);
  return true;
}

bool MembershipRole::takeUpdates(NodeId from, const proto::MembershipMessage& message, Time now) {
  bool newLives = false;
  const int count = std::min(message.updates_size(), kMaximumUpdatesPerMessage);
  for (int index = 0; index < count; ++index) {
    const std::optional<MemberStatement> statement = decodeStatement(message.updates(index));
    if (!statement) {
      ++counters_.statementsRejected;
      continue;
    }
    newLives = take(from, *statement, now) || newLives;
  }
  return newLives;
}

bool MembershipRole::take(NodeId from, const MemberStatement& statement, Time now) {
  const NodeId node = statement.status.life.node;
  switch (table_.merge(statement, now)) {
    case MergeOutcome::kStale:
      return false;
    case MergeOutcome::kChanged:
      updates_.add(node, false);
      probeRestOfZone(node);
      return false;
    case MergeOutcome::kNewLife:
      updates_.add(node, true);
      prober_.noteNewMember(node);
      addressesChanged_ = true;
      return true;
    case MergeOutcome::kRefuted:
      ++counters_.refutations;
      updates_.add(node, false);
      return false;
    case MergeOutcome::kSuperseded:
      supersededBy_ = statement.status.life.incarnation;
      return false;
    case MergeOutcome::kIdentityMissing:
      synchronizer_.askSoon(from);
      return false;
    case MergeOutcome::kConflict:
      prober_.askSoon(node, ProbePurpose::kChallenge, from);
      return false;
  }
  return false;
}

void MembershipRole::probeRestOfZone(NodeId accused) {
  const MemberEntry& entry = *table_.find(accused);
  const bool suspect = entry.status.health == MemberHealth::kSuspect;
  if (suspect && table_.isMostlySuspect(entry.identity.zone)) {
    prober_.askNeighbours(accused);
  }
}

void MembershipRole::takeVersions(NodeLife from, const proto::MembershipMessage& message) {
  const int64_t rounds = messenger_.gossipRounds();
  versions_.noteInForce(from.node, TableVersion(message.table_version()), rounds);
  versions_.noteInForce(NodeId(message.newest_holder()), TableVersion(message.newest_version()),
                        rounds);
  if (!message.has_version_report()) {
    return;
  }
  if (versions_.applyReport(message.version_report(), table_)) {
    versions_.noteSetGrew(rounds);
  }
}

void MembershipRole::takeKind(NodeLife from, const proto::MembershipMessage& message, bool newLives,
                              Time now) {
  switch (message.kind_case()) {
    case proto::MembershipMessage::kPing:
      messenger_.ack(from.node, message.ping().nonce());
      return;
    case proto::MembershipMessage::kAck:
      prober_.onAck(from.node, message.ack().nonce());
      return;
    case proto::MembershipMessage::kIndirectPing:
      prober_.onIndirectPing(from.node, message.indirect_ping(), now);
      return;
    case proto::MembershipMessage::kSyncRequest:
      synchronizer_.onRequest(from.node, message.sync_request());
      return;
    case proto::MembershipMessage::kSyncPage:
      synchronizer_.onPage(from.node, message.sync_page(), newLives, now);
      return;
    case proto::MembershipMessage::kGossip:
    case proto::MembershipMessage::KIND_NOT_SET:
      return;
  }
}

void MembershipRole::notePause(Time now) {
  const Duration gap = lastTickAt_ ? now - *lastTickAt_ : Duration::zero();
  lastTickAt_ = now;
  if (gap < knobs_.membershipPauseThreshold) {
    return;
  }
  ++counters_.pauses;
  prober_.abandon(now);
  table_.extendSuspicions(gap);
  synchronizer_.compareSoon();
}

void MembershipRole::takeFailures(const std::vector<ProbeFailure>& failures, Time now) {
  for (const ProbeFailure& failure : failures) {
    if (failure.purpose == ProbePurpose::kLastWord) {
      continue;
    }
    if (failure.purpose == ProbePurpose::kChallenge) {
      messenger_.tell(failure.teller, failure.target.node);
      continue;
    }
    ++counters_.probesFailed;
    if (table_.suspect(failure.target, now)) {
      ++counters_.suspicionsRaised;
      updates_.add(failure.target.node, false);
      messenger_.gossip(failure.target.node, false);  // It may refute at once.
      prober_.askNeighbours(failure.target.node);
    }
  }
}

void MembershipRole::takeExpiry(const Expiry& expiry) {
  counters_.deaths += expiry.deaths;
  for (const NodeId node : expiry.toAskAgain) {
    prober_.askSoon(node, ProbePurpose::kLastWord);
  }
}

void MembershipRole::gossip(Time now) {
  const bool report = versions_.reportPending();
  const bool news = !updates_.empty() || versions_.newsPending() || report;
  if (!news || now < nextGossipAt_) {
    return;
  }
  nextGossipAt_ = now + knobs_.membershipGossipInterval;
  for (const NodeId peer : nextGossipTargets()) {
    messenger_.gossip(peer, report);
  }
  versions_.noteRound();
}

std::vector<NodeId> MembershipRole::nextGossipTargets() {
  // All peers in a random order: this way a small cluster is reached completely, which independent
  // draws would leave to chance.
  const auto fanout = static_cast<size_t>(knobs_.membershipGossipFanout);
  std::vector<NodeId> targets = table_.randomAlivePeersOfZone(table_.self().identity.zone, random_);
  if (gossipOrder_.empty()) {
    gossipOrder_ = table_.shuffledAlivePeers(random_);
  }
  while (!gossipOrder_.empty() && targets.size() < fanout) {
    const MemberEntry* const entry = table_.find(gossipOrder_.back());
    if (entry != nullptr && entry->status.health == MemberHealth::kAlive) {
      targets.push_back(gossipOrder_.back());
    }
    gossipOrder_.pop_back();
  }
  return targets;
}

void MembershipRole::publishIfChanged() {
  const bool unchanged = publishedChanges_ == table_.changes() && !addressesChanged_ &&
                         publishedNewest_ == versions_.newest();
  if (unchanged) {
    return;
  }
  publishedChanges_ = table_.changes();
  publishedNewest_ = versions_.newest();
  addressesChanged_ = false;
  ++publishedVersion_;
  std::atomic_store(
      &snapshot_, buildSnapshot(publishedVersion_, table_, versions_, synchronizer_.candidates()));
}

}  // namespace fernmoor
