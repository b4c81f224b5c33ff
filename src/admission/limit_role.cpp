#include "admission/limit_role.h"

#include "admission/limit_codec.h"
#include "common/rendezvous.h"

namespace fernmoor {

namespace {

/// Rows that one message may name.
constexpr int kRowsPerMessage = 256;

uint64_t hashOf(const RowKey& row) {
  return rendezvousWeight(stableHash(row.service.value()), stableHash(row.tenant.value()));
}

}  // namespace

LimitRole::LimitRole(const MembershipView& membership, const Knobs& knobs)
    : membership_(membership), knobs_(knobs), limiter_(knobs), owner_(knobs) {}

Result<Done> LimitRole::tryAcquire(const RowLimits& limits, Time now) {
  const RankedLock lock(mutex_);
  return limiter_.tryAcquire(limits, now);
}

void LimitRole::release(const RowKey& row, Time now) {
  const RankedLock lock(mutex_);
  limiter_.release(row, now);
}

void LimitRole::updateNodes(const std::vector<Member>& members, NodeId self, Time now) {
  for (auto& entry : nodes_) {
    entry.second.live = false;
  }
  for (const Member& member : members) {
    if (member.state == MemberState::kDraining && member.life.node != self) {
      nodes_.erase(member.life.node);  // Leaves on purpose: its share is the others' at once.
      continue;
    }
    KnownNode& node = nodes_[member.life.node];
    node.hash = member.life.node.value();
    node.seenAt = now;
    node.live = true;
  }
  int64_t rank = 0;
  for (auto node = nodes_.begin(); node != nodes_.end();) {
    const bool forgotten = now - node->second.seenAt > knobs_.limitAbsentMemory;
    rank += node->first < self && !forgotten ? 1 : 0;
    node = forgotten ? nodes_.erase(node) : std::next(node);
  }
  limiter_.setEqualShare(
      EqualShare{std::max<int64_t>(1, static_cast<int64_t>(nodes_.size())), rank});
}

std::optional<NodeId> LimitRole::ownerOf(const RowKey& row) const {
  const uint64_t key = hashOf(row);
  std::optional<NodeId> owner;
  uint64_t best = 0;
  for (const auto& entry : nodes_) {
    const uint64_t weight = rendezvousWeight(key, entry.second.hash);
    if (entry.second.live && (!owner || weight > best)) {
      owner = entry.first;
      best = weight;
    }
  }
  return owner;
}

double LimitRole::reachableShare() const {
  double live = 0;
  for (const auto& entry : nodes_) {
    live += entry.second.live ? 1 : 0;
  }
  return nodes_.empty() ? 1.0 : live / static_cast<double>(nodes_.size());
}

void LimitRole::onTick(Time now, MessageSender& sender) {
  const std::vector<Member> members = membership_.members();
  const NodeLife self = membership_.self().life;
  std::map<NodeId, std::vector<LimitDemand>> questions;
  {
    const RankedLock lock(mutex_);
    self_ = self;
    updateNodes(members, self.node, now);
    owner_.expire(now);
    limiter_.expire(now);
    questions = questionsByOwner(now);
    answerOwn(questions[self.node], now);
    questions.erase(self.node);
  }
  for (const auto& entry : questions) {
    proto::Envelope envelope;
    proto::LimitQuestion& question = *envelope.mutable_limit()->mutable_question();
    for (const LimitDemand& demand : entry.second) {
      encodeDemand(demand, *question.add_rows());
    }
    sender.send(entry.first, envelope);
  }
}

std::map<NodeId, std::vector<LimitDemand>> LimitRole::questionsByOwner(Time now) {
  std::map<NodeId, std::vector<LimitDemand>> questions;
  for (LimitDemand& demand : limiter_.dueQuestions(now)) {
    const auto owner = ownerOf(demand.limits.row);
    if (owner && questions[*owner].size() < kRowsPerMessage) {
      questions[*owner].push_back(std::move(demand));
    }
  }
  return questions;
}

void LimitRole::answerOwn(const std::vector<LimitDemand>& questions, Time now) {
  for (const LimitDemand& demand : questions) {
    limiter_.onGrant(owner_.onDemand(self_, demand, reachableShare(), now), now);
  }
}

void LimitRole::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                          MessageSender& sender) {
  const proto::LimitMessage& message = envelope.limit();
  if (message.has_question()) {
    onQuestion(from, message.question(), now, sender);
  } else if (message.has_answer()) {
    onAnswer(from, message.answer(), now);
  }
}

void LimitRole::onQuestion(NodeLife from, const proto::LimitQuestion& question, Time now,
                           MessageSender& sender) {
  proto::Envelope envelope;
  proto::LimitAnswer& answer = *envelope.mutable_limit()->mutable_answer();
  {
    const RankedLock lock(mutex_);
    for (int index = 0; index < std::min(kRowsPerMessage, question.rows_size()); ++index) {
      const LimitDemand demand = decodeDemand(question.rows(index));
      if (ownerOf(demand.limits.row) != self_.node) {
        continue;  // Only one node at a time gives out a row's tokens.
      }
      encodeGrant(owner_.onDemand(from, demand, reachableShare(), now), *answer.add_rows());
    }
  }
  if (answer.rows_size() > 0) {
    sender.send(from.node, envelope);
  }
}

void LimitRole::onAnswer(NodeLife from, const proto::LimitAnswer& answer, Time now) {
  const RankedLock lock(mutex_);
  for (const proto::LimitGrant& row : answer.rows()) {
    const LimitGrant grant = decodeGrant(row);
    if (ownerOf(grant.row) == from.node) {
      limiter_.onGrant(grant, now);
    }
  }
}

}  // namespace fernmoor
