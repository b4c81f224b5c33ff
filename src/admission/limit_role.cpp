#include "admission/limit_role.h"

#include <algorithm>

#include "admission/limit_codec.h"
#include "common/log.h"
#include "common/rendezvous.h"

namespace fernmoor {

namespace {

/// Maximum number of rows in one message.
constexpr int kRowsPerMessage = 256;
/// Log budget for rows that become short of tokens or recover.
constexpr LogBudgetBounds kShortageLogBudget{2, 10};

/// A node that can reach a smaller fraction of the known nodes is in the minority of a partition.
constexpr double kMinimumReachableShare = 0.5;

uint64_t hashOf(const RowKey& row) {
  return rendezvousWeight(stableHash(row.service.value()), stableHash(row.tenant.value()));
}

}  // namespace

LimitRole::LimitRole(const MembershipView& membership, const Knobs& knobs)
    : membership_(membership),
      knobs_(knobs),
      limiter_(knobs),
      owner_(knobs),
      shortLog_(kShortageLogBudget) {}

Result<Done> LimitRole::tryAcquire(const RowLimits& limits, double cost, Time now) {
  const RankedLock lock(mutex_);
  return limiter_.tryAcquire(limits, cost, DebtPolicy::kAllowDebt, now);
}

Result<Done> LimitRole::tryAcquireWithoutDebt(const RowLimits& limits, double cost, Time now) {
  const RankedLock lock(mutex_);
  return limiter_.tryAcquire(limits, cost, DebtPolicy::kForbidDebt, now);
}

void LimitRole::refund(const RowKey& row, double cost) {
  const RankedLock lock(mutex_);
  limiter_.refund(row, cost);
}

bool LimitRole::awaitsAnswer(const RowKey& row) const {
  const RankedLock lock(mutex_);
  return limiter_.awaitsAnswer(row);
}

bool LimitRole::askNow(const RowKey& row, double needed, Time now, MessageSender& sender) {
  std::map<NodeId, std::vector<LimitDemand>> questions;
  {
    const RankedLock lock(mutex_);
    if (!ownerOf(row)) {
      return false;
    }
    if (const std::optional<LimitDemand> question = limiter_.urgentQuestion(row, needed, now)) {
      questions = questionsToOthers({*question}, now);
    }
  }
  sendQuestions(questions, sender);
  return true;
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
      nodes_.erase(member.life.node);  // Deliberate leave: its share passes to the others at once.
      continue;
    }
    KnownNode& node = nodes_[member.life.node];
    node.hash = member.life.node.value();
    node.seenAt = now;
    node.live = true;
  }
  int64_t rank = 0;
  for (auto node = nodes_.begin(); node != nodes_.end();) {
    const bool isExpired = now - node->second.seenAt > knobs_.limitAbsentMemory;
    rank += node->first < self && !isExpired ? 1 : 0;
    node = isExpired ? nodes_.erase(node) : std::next(node);
  }
  const auto live = static_cast<size_t>(std::count_if(
      nodes_.begin(), nodes_.end(), [](const auto& entry) { return entry.second.live; }));
  sharingNodes_ = std::max<size_t>({1, nodes_.size(), live + unknownNodes_});
  reachableShare_ =
      nodes_.empty() ? 1.0 : static_cast<double>(live) / static_cast<double>(sharingNodes_);
  limiter_.setEqualShare(EqualShare{static_cast<int64_t>(sharingNodes_), rank});
}

std::optional<NodeId> LimitRole::ownerOf(const RowKey& row) const {
  // The minority of a partition has no owner. Its nodes continue at their last granted rates, which
  // the majority's owner reserves for them.
  if (reachableShare_ < kMinimumReachableShare) {
    return std::nullopt;
  }
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

OwnerContext LimitRole::ownerContext(Time now) const {
  return OwnerContext{reachableShare_, startedAt_ && now - *startedAt_ < knobs_.limitLeaseTime};
}

void LimitRole::onTick(Time now, MessageSender& sender) {
  const std::vector<Member> members = membership_.members();
  const NodeLife self = membership_.self().life;
  std::map<NodeId, std::vector<LimitDemand>> questions;
  {
    const RankedLock lock(mutex_);
    self_ = self;
    startedAt_ = startedAt_.value_or(now);
    updateNodes(members, self.node, now);
    owner_.expire(now);
    limiter_.expire(now);
    questions = questionsToOthers(limiter_.dueQuestions(now), now);
  }
  sendQuestions(questions, sender);
}

void LimitRole::sendQuestions(const std::map<NodeId, std::vector<LimitDemand>>& questions,
                              MessageSender& sender) const {
  for (const auto& entry : questions) {
    proto::Envelope envelope;
    proto::LimitQuestion& question = *envelope.mutable_limit()->mutable_question();
    for (const LimitDemand& demand : entry.second) {
      encodeDemand(demand, *question.add_rows());
    }
    sender.send(entry.first, envelope);
  }
}

std::map<NodeId, std::vector<LimitDemand>> LimitRole::questionsToOthers(
    std::vector<LimitDemand> due, Time now) {
  std::map<NodeId, std::vector<LimitDemand>> questions;
  for (LimitDemand& demand : due) {
    const auto owner = ownerOf(demand.limits.row);
    if (owner && questions[*owner].size() < kRowsPerMessage) {
      questions[*owner].push_back(std::move(demand));
    }
  }
  answerOwnedRows(questions[self_.node], now);
  questions.erase(self_.node);
  return questions;
}

void LimitRole::applyGrant(const LimitGrant& grant, Time now) {
  const bool wasShort = limiter_.isShort(grant.row);
  limiter_.onGrant(grant, now);
  const bool isShort = limiter_.isShort(grant.row);
  if (isShort == wasShort) {
    return;
  }
  const std::optional<uint64_t> leftOut = shortLog_.take(now);
  if (!leftOut) {
    return;
  }
  LogFields fields;
  fields.tenant = grant.row.tenant;
  fields.service = grant.row.service;
  fields.peer = ownerOf(grant.row);
  fields.leftOut = *leftOut;
  logInfo(isShort ? "limit: more is asked than is left, what is beyond is refused"
                  : "limit: all that is asked fits again",
          fields);
}

size_t LimitRole::shortCount() const {
  const RankedLock lock(mutex_);
  return limiter_.shortCount();
}

size_t LimitRole::knownNodes() const {
  const RankedLock lock(mutex_);
  return sharingNodes_;
}

void LimitRole::setUnknownNodes(size_t count) {
  const RankedLock lock(mutex_);
  unknownNodes_ = count;
}

size_t LimitRole::unknownNodes() const {
  const RankedLock lock(mutex_);
  return unknownNodes_;
}

size_t LimitRole::knownAmong(const std::vector<NodeId>& nodes) const {
  const RankedLock lock(mutex_);
  return static_cast<size_t>(std::count_if(nodes.begin(), nodes.end(),
                                           [this](NodeId node) { return nodes_.count(node) > 0; }));
}

double LimitRole::reachableShare() const {
  const RankedLock lock(mutex_);
  return reachableShare_;
}

void LimitRole::answerOwnedRows(const std::vector<LimitDemand>& questions, Time now) {
  for (const LimitDemand& demand : questions) {
    applyGrant(owner_.onDemand(self_, demand, ownerContext(now), now), now);
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
        continue;  // Only one node at a time grants a row's tokens.
      }
      encodeGrant(owner_.onDemand(from, demand, ownerContext(now), now), *answer.add_rows());
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
      applyGrant(grant, now);
    }
  }
}

}  // namespace fernmoor
