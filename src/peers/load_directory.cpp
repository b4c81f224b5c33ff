#include "peers/load_directory.h"

#include <algorithm>
#include <limits>

#include "peers/node_hash.h"

namespace fernmoor::peers {

namespace {

using gateway::LoadAnswer;
using gateway::LoadTicket;
using gateway::PendingRequest;

/// A request goes on without an answer that has not come by then: two trips between zones.
constexpr Duration kAnswerTimeout{6000};

uint32_t inMessage(uint64_t tokens) {
  return static_cast<uint32_t>(std::min<uint64_t>(tokens, std::numeric_limits<uint32_t>::max()));
}

proto::Envelope releaseOf(uint64_t engine, uint32_t id) {
  proto::Envelope envelope;
  proto::LoadRelease& release = *envelope.mutable_load()->mutable_release();
  release.set_engine(engine);
  release.set_question_id(id);
  return envelope;
}

}  // namespace

LoadDirectory::LoadDirectory(NodeId self, const Clock& clock, MessageSender& sender)
    : self_(self), clock_(clock), sender_(sender) {}

void LoadDirectory::setMembers(std::shared_ptr<const MembershipSnapshot> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  members_ = std::move(members);
}

NodeId LoadDirectory::keeperOf(uint64_t engine) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return rendezvousKeeper(engine, self_, members_.get());
}

std::optional<LoadAnswer> LoadDirectory::reserve(uint64_t engine, uint64_t tokens, uint64_t bound) {
  const NodeId keeper = keeperOf(engine);
  uint32_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    id = ++lastQuestion_;
    if (keeper != self_) {
      questions_[id] = Question{};
    }
  }
  if (keeper == self_) {
    return work_.reserve(engine, PendingRequest{self_.value(), id, tokens}, bound, clock_.now());
  }
  proto::Envelope envelope;
  proto::LoadQuestion& question = *envelope.mutable_load()->mutable_question();
  question.set_question_id(id);
  question.set_engine(engine);
  question.set_tokens(inMessage(tokens));
  question.set_bound(inMessage(bound));
  sender_.send(keeper, envelope);
  std::unique_lock<std::mutex> lock(mutex_);
  answered_.wait_for(lock, kAnswerTimeout, [&] { return questions_.at(id).answer.has_value(); });
  const std::optional<LoadAnswer> answer = questions_.at(id).answer;
  questions_.erase(id);
  return answer;
}

void LoadDirectory::release(const LoadTicket& ticket) {
  const NodeId keeper = keeperOf(ticket.engine);
  if (keeper == self_) {
    work_.release(ticket.engine, self_.value(), ticket.id);
  } else {
    sender_.send(keeper, releaseOf(ticket.engine, ticket.id));
  }
}

void LoadDirectory::onQuestion(NodeLife from, const proto::LoadQuestion& question, Time now,
                               MessageSender& sender) {
  const PendingRequest request{from.node.value(), question.question_id(), question.tokens()};
  const LoadAnswer counted = work_.reserve(question.engine(), request, question.bound(), now);
  proto::Envelope envelope;
  proto::LoadAnswer& answer = *envelope.mutable_load()->mutable_answer();
  answer.set_question_id(question.question_id());
  answer.set_engine(question.engine());
  answer.set_granted(counted.isGranted);
  answer.set_pending_tokens(inMessage(counted.pendingTokens));
  sender.send(from.node, envelope);
}

void LoadDirectory::onAnswer(NodeLife from, const proto::LoadAnswer& answer,
                             MessageSender& sender) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto question = questions_.find(answer.question_id());
    if (question != questions_.end()) {
      const LoadTicket ticket{answer.engine(), answer.question_id()};
      question->second.answer = LoadAnswer{answer.granted(), answer.pending_tokens(), ticket};
      answered_.notify_all();
      return;
    }
  }
  if (answer.granted()) {  // Nobody waits any more, so nobody would release it.
    sender.send(from.node, releaseOf(answer.engine(), answer.question_id()));
  }
}

void LoadDirectory::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                              MessageSender& sender) {
  const proto::LoadMessage& message = envelope.load();
  if (message.has_question()) {
    onQuestion(from, message.question(), now, sender);
  } else if (message.has_answer()) {
    onAnswer(from, message.answer(), sender);
  } else if (message.has_release()) {
    work_.release(message.release().engine(), from.node.value(), message.release().question_id());
  }
}

void LoadDirectory::onTick(Time, MessageSender&) {}

}  // namespace fernmoor::peers
