#include "peers/load_directory.h"

#include <algorithm>
#include <limits>

#include "peers/answer_timeout.h"
#include "peers/node_hash.h"

namespace fernmoor::peers {

namespace {

using gateway::EngineDemand;
using gateway::EngineRoom;
using gateway::LoadAnswer;
using gateway::LoadTicket;
using gateway::PendingRequest;

uint32_t inMessage(uint64_t tokens) {
  return static_cast<uint32_t>(std::min<uint64_t>(tokens, std::numeric_limits<uint32_t>::max()));
}

proto::Envelope releaseOf(const LoadTicket& ticket, bool stillRuns) {
  proto::Envelope envelope;
  proto::LoadRelease& release = *envelope.mutable_load()->mutable_release();
  release.set_engine(ticket.engine);
  release.set_question_id(ticket.id);
  release.set_still_runs(stillRuns);
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

std::optional<LoadAnswer> LoadDirectory::reserve(uint64_t engine, const EngineDemand& demand,
                                                 const EngineRoom& room, uint64_t bound) {
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
    return work_.reserve(engine, PendingRequest{self_.value(), id, demand}, room, bound,
                         clock_.now());
  }
  proto::Envelope envelope;
  proto::LoadQuestion& question = *envelope.mutable_load()->mutable_question();
  question.set_question_id(id);
  question.set_engine(engine);
  question.set_tokens(inMessage(demand.promptTokens));
  question.set_bound(inMessage(bound));
  question.set_memory_tokens(inMessage(demand.memoryTokens));
  question.set_engine_places(room.places);
  question.set_engine_memory_tokens(inMessage(room.memoryTokens));
  question.set_forget_after_milliseconds(
      inMessage(static_cast<uint64_t>(demand.forgetAfter.count() / 1000)));
  sender_.send(keeper, envelope);
  std::unique_lock<std::mutex> lock(mutex_);
  answered_.wait_for(lock, kAnswerTimeout, [&] { return questions_.at(id).answer.has_value(); });
  const std::optional<LoadAnswer> answer = questions_.at(id).answer;
  questions_.erase(id);
  return answer;
}

void LoadDirectory::tell(const LoadTicket& ticket, bool stillRuns) {
  const proto::Envelope envelope = releaseOf(ticket, stillRuns);
  const NodeId keeper = keeperOf(ticket.engine);
  if (keeper == self_) {
    noteEnd(self_.value(), envelope.load().release(), clock_.now());
  } else {
    sender_.send(keeper, envelope);
  }
}

void LoadDirectory::promptRead(const LoadTicket& ticket) {
  tell(ticket, true);
}

void LoadDirectory::release(const LoadTicket& ticket) {
  tell(ticket, false);
}

void LoadDirectory::noteEnd(uint64_t owner, const proto::LoadRelease& release, Time now) {
  if (release.still_runs()) {
    work_.promptRead(release.engine(), owner, release.question_id(), now);
  } else {
    work_.release(release.engine(), owner, release.question_id(), now);
  }
}

void LoadDirectory::forgetFormerLife(NodeLife from) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto known = askers_.try_emplace(from.node, from.incarnation);
    if (known.second || known.first->second == from.incarnation) {
      return;
    }
    known.first->second = from.incarnation;
  }
  work_.forgetOwner(from.node.value());
}

void LoadDirectory::onQuestion(NodeLife from, const proto::LoadQuestion& question, Time now,
                               MessageSender& sender) {
  forgetFormerLife(from);
  EngineDemand demand;
  demand.promptTokens = question.tokens();
  demand.memoryTokens = question.memory_tokens();
  demand.forgetAfter = std::chrono::milliseconds(question.forget_after_milliseconds());
  const EngineRoom room{question.engine_places(), question.engine_memory_tokens()};
  const PendingRequest request{from.node.value(), question.question_id(), demand};
  const LoadAnswer counted = work_.reserve(question.engine(), request, room, question.bound(), now);
  proto::Envelope envelope;
  proto::LoadAnswer& answer = *envelope.mutable_load()->mutable_answer();
  answer.set_question_id(question.question_id());
  answer.set_engine(question.engine());
  answer.set_granted(counted.isGranted);
  answer.set_pending_tokens(inMessage(counted.pendingTokens));
  answer.set_tokens_per_second(inMessage(static_cast<uint64_t>(counted.tokensPerSecond)));
  answer.set_stalled(counted.isStalled);
  sender.send(from.node, envelope);
}

void LoadDirectory::onAnswer(NodeLife from, const proto::LoadAnswer& answer,
                             MessageSender& sender) {
  const LoadTicket ticket{answer.engine(), answer.question_id()};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto question = questions_.find(answer.question_id());
    if (question != questions_.end()) {
      const double rate = std::max(1U, answer.tokens_per_second());
      question->second.answer =
          LoadAnswer{answer.granted(), answer.pending_tokens(), rate, answer.stalled(), ticket};
      answered_.notify_all();
      return;
    }
  }
  if (answer.granted()) {  // Nobody waits any more, so nobody would release it.
    sender.send(from.node, releaseOf(ticket, false));
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
    noteEnd(from.node.value(), message.release(), now);
  }
}

void LoadDirectory::onTick(Time, MessageSender&) {}

}  // namespace fernmoor::peers
