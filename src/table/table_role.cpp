#include "table/table_role.h"

#include <algorithm>
#include <utility>

#include "common/rendezvous.h"
#include "table/platform_table.h"
#include "table/table_messages.h"

namespace fernmoor {

namespace {

constexpr uint64_t kNoQuery = 0;

}  // namespace

TableRole::TableRole(Table& table, const MembershipView& membership, const Knobs& knobs,
                     uint64_t seed)
    : table_(table),
      membership_(membership),
      knobs_(knobs),
      random_(seed),
      announcer_(knobs, peers_, random_),
      history_(knobs),
      archive_(knobs),
      polls_(knobs),
      startup_(knobs) {}

// --- members

void TableRole::refreshMembers(Time now) {
  {
    const RankedLock lock(mutex_);
    if (now < nextRefresh_) {
      return;
    }
  }
  // Asked outside the lock: membership's lock comes before this one.
  const Member self = membership_.self();
  const std::vector<Member> members = membership_.members();
  const RankedLock lock(mutex_);
  nextRefresh_ = now + knobs_.tableMembersRefresh;
  self_ = self.life;
  peers_.refresh(members, self);
  isWatcher_ = isWatcher(members, self);
}

bool TableRole::isWatcher(const std::vector<Member>& members, const Member& self) const {
  std::vector<NodeId> candidates;
  for (const Member& member : members) {
    if (member.zone == self.zone && member.state == MemberState::kAlive) {
      candidates.push_back(member.life.node);
    }
  }
  const uint64_t key = stableHash("table-watchers/" + self.zone.value());
  const auto watchers =
      rendezvousTop(key, std::move(candidates), static_cast<size_t>(knobs_.tableWatchersPerZone),
                    [](NodeId node) { return uint64_t{node.value()}; });
  return std::find(watchers.begin(), watchers.end(), self.life.node) != watchers.end();
}

void TableRole::onVersionSeen(NodeId node, TableVersion version) {
  const RankedLock lock(mutex_);
  if (node != self_.node) {
    peers_.noteHearsay(node, version);
  }
}

// --- the platform

PlatformNeed TableRole::platformNeed(Time now) const {
  const RankedLock lock(mutex_);
  if (!isWatcher_) {
    return PlatformNeed::kNothing;
  }
  if (table_.version() == TableVersion() && !platformIsEmpty_) {
    const bool needed = startup_.needsPlatform(now, peers_.size());
    return needed ? PlatformNeed::kSnapshot : PlatformNeed::kNothing;
  }
  return needsPlatformSnapshot_ ? PlatformNeed::kSnapshot : PlatformNeed::kChanges;
}

void TableRole::onPlatformChanges(const WatchBatch& batch, Time now, MessageSender& sender) {
  const PlatformChanges read = readPlatformChanges(batch);
  const RankedLock lock(mutex_);
  counters_.unreadableRows += read.problems.size();
  const TableVersion former = table_.version();
  for (const TableChange& change : read.changes) {
    if (change.version > table_.version() && !applyNext(change)) {
      break;
    }
  }
  const TableVersion revision(batch.revision.value());
  counters_.platformBehind += revision < former ? 1 : 0;
  needsPlatformSnapshot_ = revision > table_.version();
  if (table_.version() > former) {
    afterProgress(now, sender);
  }
}

void TableRole::onPlatformSnapshot(const CollectionSnapshot& collection, Time now,
                                   MessageSender& sender) {
  const PlatformTable read = readPlatformTable(collection);
  const RankedLock lock(mutex_);
  counters_.unreadableRows += read.problems.size();
  needsPlatformSnapshot_ = false;
  platformIsEmpty_ = read.snapshot->version() == TableVersion();
  if (read.snapshot->version() <= table_.version()) {
    counters_.platformBehind += read.snapshot->version() < table_.version() ? 1 : 0;
    return;
  }
  applySnapshot(read.snapshot);
  afterProgress(now, sender);
}

// --- putting versions in force

bool TableRole::applyNext(const TableChange& change) {
  if (!table_.apply(change)) {
    return false;
  }
  history_.append(change);
  ++counters_.changesApplied;
  return true;
}

void TableRole::applySnapshot(const Table::Snapshot& snapshot) {
  if (!table_.replace(snapshot)) {
    return;
  }
  history_.restartAt(snapshot->version());
  ++counters_.snapshotsApplied;
}

void TableRole::afterProgress(Time now, MessageSender& sender) {
  const TableVersion version = table_.version();
  needsPeerSnapshot_ = false;
  needsPlatformSnapshot_ = false;
  if (receipt_.version() <= version) {
    receipt_.reset();
  }
  if (peers_.highest() > version) {
    return;  // Still catching up: the peers know more than this node could tell them.
  }
  announcer_.onNewVersion(version, now, sender);
}

// --- messages

void TableRole::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                          MessageSender& sender) {
  refreshMembers(now);
  const RankedLock lock(mutex_);
  const proto::TableMessage& message = envelope.table();
  if (isForFormerLife(message)) {
    ++counters_.formerLifeAnswers;
    return;
  }
  switch (message.body_case()) {
    case proto::TableMessage::kAnnouncement:
      onAnnouncement(from.node, TableVersion(message.announcement().version()), sender);
      break;
    case proto::TableMessage::kChangesRequest:
      onChangesRequest(from, message.changes_request(), sender);
      break;
    case proto::TableMessage::kChanges:
      onChanges(from.node, message.changes(), now, sender);
      break;
    case proto::TableMessage::kSnapshotRequest: {
      proto::Envelope answer;
      *answer.mutable_table()->mutable_snapshot_page() =
          archive_.answer(message.snapshot_request(), table_.current(), now);
      sendAnswer(from, std::move(answer), sender);
      break;
    }
    case proto::TableMessage::kSnapshotPage:
      onSnapshotPage(from.node, message.snapshot_page(), now, sender);
      break;
    case proto::TableMessage::kVersionQuery:
      sendAnswer(from, tableVersionReply(message.version_query().query(), table_.version()),
                 sender);
      break;
    case proto::TableMessage::kVersionReply:
      onVersionReply(from, message.version_reply());
      break;
    case proto::TableMessage::BODY_NOT_SET:
      break;
  }
  pursue(now, sender);
}

/// Rule of the model: WITHOUT_LIFE_IN_ANSWER. A late answer may hold a version that is older than
/// one accepted since, and this life must not serve it on the strength of its former life's
/// question.
bool TableRole::isForFormerLife(const proto::TableMessage& message) const {
  return isTableAnswer(message) && Incarnation(message.asker_incarnation()) != self_.incarnation;
}

void TableRole::sendAnswer(NodeLife asker, proto::Envelope answer, MessageSender& sender) {
  answer.mutable_table()->set_asker_incarnation(asker.incarnation.value());
  sender.send(asker.node, answer);
}

void TableRole::onAnnouncement(NodeId from, TableVersion version, MessageSender& sender) {
  peers_.note(from, version);
  if (version < table_.version()) {
    sender.send(from, tableAnnouncement(table_.version()));
  }
}

void TableRole::onChangesRequest(NodeLife from, const proto::TableChangesRequest& request,
                                 MessageSender& sender) {
  const TableVersion after(request.after());
  peers_.note(from.node, after);
  proto::Envelope envelope;
  proto::TableChanges& answer = *envelope.mutable_table()->mutable_changes();
  answer.set_after(after.value());
  answer.set_version_in_force(table_.version().value());
  if (after < table_.version()) {
    answer.set_compacted(!history_.covers(after));
    if (!answer.compacted()) {
      history_.fill(after, static_cast<size_t>(knobs_.tablePageBytes), answer);
    }
  }
  sendAnswer(from, std::move(envelope), sender);
}

void TableRole::onChanges(NodeId from, const proto::TableChanges& message, Time now,
                          MessageSender& sender) {
  peers_.note(from, TableVersion(message.version_in_force()));
  if (fetch_ && fetch_->peer == from) {
    fetch_.reset();
  }
  if (message.compacted() && TableVersion(message.after()) == table_.version()) {
    needsPeerSnapshot_ = true;
    return;
  }
  const TableVersion former = table_.version();
  for (const proto::TableChange& encoded : message.changes()) {
    if (TableVersion(encoded.version()) <= table_.version()) {
      continue;
    }
    const Result<TableChange> change = changeFromProto(encoded);
    if (!isOk(change)) {
      ++counters_.malformedMessages;
      break;
    }
    if (!applyNext(valueOf(change))) {
      break;
    }
  }
  if (table_.version() > former) {
    afterProgress(now, sender);
  }
}

void TableRole::onSnapshotPage(NodeId from, const proto::TableSnapshotPage& page, Time now,
                               MessageSender& sender) {
  const TableVersion version(page.version());
  if (fetch_ && fetch_->peer == from) {
    fetch_.reset();
  }
  if (version <= table_.version()) {
    // The peer restarted since it named a newer version; asking it again at once would not end.
    peers_.note(from, version);
    return;
  }
  peers_.noteHearsay(from, version);
  const Result<std::optional<Table::Snapshot>> taken = receipt_.take(page);
  if (!isOk(taken)) {
    ++counters_.malformedMessages;
    return;
  }
  if (valueOf(taken)) {
    applySnapshot(*valueOf(taken));
    afterProgress(now, sender);
  }
}

void TableRole::onVersionReply(NodeLife from, const proto::TableVersionReply& reply) {
  const TableVersion version(reply.version());
  peers_.note(from.node, version);
  startup_.onReply(from.node, version);
  polls_.onReply(from, reply.query(), version);
}

// --- fetching from peers

void TableRole::pursue(Time now, MessageSender& sender) {
  const TableVersion version = table_.version();
  if (fetch_ || peers_.highest() <= version) {
    return;
  }
  const TableVersion next(version.value() + 1);
  auto peer = peers_.chooseWith(std::max(next, receipt_.version()), slowPeer_, random_);
  if (!peer) {
    receipt_.reset();
    peer = peers_.chooseWith(next, slowPeer_, random_);
  }
  if (peer) {
    requestFrom(*peer, now, sender);
  }
}

void TableRole::requestFrom(NodeId peer, Time now, MessageSender& sender) {
  proto::Envelope envelope;
  if (needsPeerSnapshot_) {
    *envelope.mutable_table()->mutable_snapshot_request() = receipt_.nextRequest();
  } else {
    envelope.mutable_table()->mutable_changes_request()->set_after(table_.version().value());
  }
  fetch_ = Fetch{peer, now + knobs_.tableFetchTimeout};
  sender.send(peer, envelope);
}

void TableRole::expireFetch(Time now) {
  if (fetch_ && fetch_->deadline <= now) {
    ++counters_.fetchTimeouts;
    slowPeer_ = fetch_->peer;
    fetch_.reset();
  }
}

// --- after a start

void TableRole::lookForHighest(Time now, MessageSender& sender) {
  if (ready()) {
    return;
  }
  startup_.begin(now);
  if (startup_.mayServe(now, peers_.size(), table_.version())) {
    ready_.store(true, std::memory_order_release);
    return;
  }
  if (!startup_.takeRound(now)) {
    return;
  }
  const size_t count = startup_.wantedReplies(peers_.size());
  for (const NodeId peer : peers_.sample(count, PeerScope::kAll, random_)) {
    sender.send(peer, tableVersionQuery(kNoQuery));
  }
}

// --- acceptance

Result<AcceptancePollId> TableRole::startAcceptance(TableVersion version, Time now) {
  const RankedLock lock(mutex_);
  return polls_.start(version, now);
}

void TableRole::setAcceptanceNodes(AcceptancePollId poll, const std::vector<NodeId>& nodes) {
  const RankedLock lock(mutex_);
  polls_.setNodes(poll, nodes);
}

std::vector<NodeId> TableRole::lacking(AcceptancePollId poll) const {
  const RankedLock lock(mutex_);
  return polls_.lacking(poll);
}

void TableRole::stopAcceptance(AcceptancePollId poll) {
  const RankedLock lock(mutex_);
  polls_.stop(poll);
}

void TableRole::askForAcceptance(Time now, MessageSender& sender) {
  const std::vector<NodeId> due = polls_.takeDue(now);
  const uint64_t query = due.empty() ? kNoQuery : polls_.nextQuery();
  for (const NodeId node : due) {
    if (node == self_.node) {
      polls_.onReply(self_, query, table_.version());
      continue;
    }
    sender.send(node, tableVersionQuery(query));
  }
}

TableCounters TableRole::counters() const {
  const RankedLock lock(mutex_);
  return counters_;
}

void TableRole::onTick(Time now, MessageSender& sender) {
  refreshMembers(now);
  const RankedLock lock(mutex_);
  archive_.expire(now);
  expireFetch(now);
  lookForHighest(now, sender);
  pursue(now, sender);
  announcer_.onTick(table_.version(), now, sender);
  askForAcceptance(now, sender);
}

}  // namespace fernmoor
