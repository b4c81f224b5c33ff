#include "membership/messenger.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "membership/member_codec.h"

namespace fernmoor {

namespace {

/// Left free in a datagram for the envelope, the sender's incarnation and the tag.
constexpr size_t kEnvelopeReserveBytes = 64;
/// Enough for the first sender alone to reach all of a small cluster.
constexpr int64_t kMinimumTransmissions = 9;
/// With more updates pending than this, as after a restart of all nodes, each is sent fewer times:
/// the comparisons of tables repair what some nodes missed at a lower cost.
constexpr size_t kManyUpdates = 64;
constexpr int64_t kTransmissionsOfMany = 6;
/// Hashes and numbers of a sync page, beside its members.
constexpr size_t kPageHeaderBytes = 48 + 4 * MemberTable::kBuckets;

void writeHashes(const MemberTable::BucketHashes& hashes,
                 google::protobuf::RepeatedField<uint32_t>& field) {
  field.Add(hashes.begin(), hashes.end());
}

MemberStatement statementOf(const MemberEntry& entry, bool withIdentity) {
  MemberStatement statement{entry.status, std::nullopt};
  if (withIdentity) {
    statement.identity = entry.identity;
  }
  return statement;
}

}  // namespace

Messenger::Messenger(const MemberTable& table, UpdateQueue& updates, const VersionSpread& versions,
                     const Knobs& knobs)
    : table_(table), updates_(updates), versions_(versions), knobs_(knobs) {}

void Messenger::ping(NodeId to, uint32_t nonce) {
  proto::MembershipMessage message = start(to);
  message.mutable_ping()->set_nonce(nonce);
  piggyback(to, message);
  push(to, std::move(message));
}

void Messenger::ack(NodeId to, uint32_t nonce) {
  proto::MembershipMessage message = start(to);
  message.mutable_ack()->set_nonce(nonce);
  piggyback(to, message);
  push(to, std::move(message));
}

void Messenger::ackFor(NodeId to, uint32_t nonce, NodeId target) {
  proto::MembershipMessage message = start(to);
  message.mutable_ack()->set_nonce(nonce);
  if (const MemberEntry* const entry = table_.find(target)) {
    encodeStatement(statementOf(*entry, false), *message.add_updates());
  }
  piggyback(to, message);
  push(to, std::move(message));
}

void Messenger::indirectPing(NodeId relay, NodeId target, uint32_t nonce) {
  proto::MembershipMessage message = start(relay);
  message.mutable_indirect_ping()->set_nonce(nonce);
  message.mutable_indirect_ping()->set_target_node_id(target.value());
  piggyback(relay, message);
  push(relay, std::move(message));
}

void Messenger::gossip(NodeId to, bool withReport) {
  proto::MembershipMessage message = start(to);
  message.mutable_gossip();
  if (withReport) {
    versions_.encodeReport(table_, *message.mutable_version_report());
  }
  piggyback(to, message);
  push(to, std::move(message));
}

void Messenger::tell(NodeId to, NodeId member) {
  const MemberEntry* const entry = table_.find(member);
  if (entry == nullptr || to == member) {
    return;
  }
  proto::MembershipMessage message = start(to);
  message.mutable_gossip();
  encodeStatement(statementOf(*entry, false), *message.add_updates());
  piggyback(to, message);
  push(to, std::move(message));
}

void Messenger::syncRequest(NodeId to) {
  proto::MembershipMessage message = start(to);
  writeHashes(table_.bucketHashes(), *message.mutable_sync_request()->mutable_bucket_hashes());
  encodeStatement(statementOf(table_.self(), true), *message.add_updates());
  push(to, std::move(message));
}

size_t Messenger::syncPages(NodeId to, const MemberTable::BucketHashes& theirs, bool answer,
                            size_t maximumPages) {
  const MemberTable::BucketHashes ours = table_.bucketHashes();
  const auto budget = static_cast<size_t>(knobs_.maxDatagramBytes) - kEnvelopeReserveBytes;
  std::vector<proto::MembershipMessage> pages;
  size_t bytes = budget;
  for (const auto& entry : table_.entries()) {
    const size_t bucket = MemberTable::bucketOf(entry.first);
    if (!isLive(entry.second.status.health) || ours.at(bucket) == theirs.at(bucket)) {
      continue;
    }
    proto::MemberUpdate update;
    encodeStatement(statementOf(entry.second, true), update);
    if (bytes + encodedBytes(update) > budget) {
      pages.push_back(start(to));
      bytes = pages.back().ByteSizeLong() + kPageHeaderBytes;
    }
    bytes += encodedBytes(update);
    *pages.back().add_updates() = std::move(update);
  }
  if (pages.empty() && !answer) {
    return 0;
  }
  if (pages.empty()) {
    pages.push_back(start(to));
  }
  const size_t sent = std::min(pages.size(), maximumPages);
  for (size_t index = 0; index < sent; ++index) {
    proto::MembershipSyncPage& page = *pages[index].mutable_sync_page();
    page.set_page(static_cast<uint32_t>(index));
    page.set_page_count(static_cast<uint32_t>(sent));
    page.set_complete(sent == pages.size());
    if (answer && index == 0) {
      writeHashes(ours, *page.mutable_bucket_hashes());
    }
    push(to, std::move(pages[index]));
  }
  return sent;
}

int64_t Messenger::retransmitLimit() const {
  const double members = static_cast<double>(table_.alivePeers().size()) + 2;
  const double times = std::ceil(knobs_.membershipRetransmitFactor * std::log(members));
  return std::max(kMinimumTransmissions, static_cast<int64_t>(times));
}

int64_t Messenger::updateLimit() const {
  return updates_.size() > kManyUpdates ? kTransmissionsOfMany : retransmitLimit();
}

int64_t Messenger::gossipRounds() const {
  return retransmitLimit() / knobs_.membershipGossipFanout + 1;
}

std::vector<OutgoingMessage> Messenger::takeOutbox() {
  return std::exchange(outbox_, {});
}

proto::MembershipMessage Messenger::start(NodeId to) const {
  proto::MembershipMessage message;
  const MemberStatus& own = table_.self().status;
  message.set_sequence(own.sequence);
  message.set_draining(own.draining);
  message.set_reaches_no_engine(own.reachesNoEngine);
  message.set_table_version(own.tableVersion.value());
  if (versions_.newest() > own.tableVersion) {
    message.set_newest_version(versions_.newest().value());
    message.set_newest_holder(versions_.holder().value());
  }
  const MemberEntry* const receiver = table_.find(to);
  if (receiver != nullptr && receiver->status.health != MemberHealth::kAlive) {
    encodeStatement(statementOf(*receiver, false), *message.add_updates());
  }
  return message;
}

void Messenger::piggyback(NodeId to, proto::MembershipMessage& message) {
  const auto budget = static_cast<size_t>(knobs_.maxDatagramBytes) - kEnvelopeReserveBytes;
  size_t bytes = message.ByteSizeLong();
  const auto fits = [&](const PendingUpdate& pending) {
    const MemberEntry* const entry = table_.find(pending.node);
    if (entry == nullptr) {
      return true;  // Forgotten; leaves the queue unsent.
    }
    proto::MemberUpdate update;
    encodeStatement(statementOf(*entry, pending.withIdentity), update);
    if (bytes + encodedBytes(update) > budget) {
      return false;
    }
    bytes += encodedBytes(update);
    *message.add_updates() = std::move(update);
    return true;
  };
  // The receiver knows its own state, and an accusation of it is in the message already.
  updates_.take(fits, to, updateLimit());
}

void Messenger::push(NodeId to, proto::MembershipMessage&& message) {
  assert(to != table_.selfId());
  OutgoingMessage outgoing;
  outgoing.to = to;
  *outgoing.envelope.mutable_membership() = std::move(message);
  assert(outgoing.envelope.ByteSizeLong() <= static_cast<size_t>(knobs_.maxDatagramBytes));
  outbox_.push_back(std::move(outgoing));
}

}  // namespace fernmoor
