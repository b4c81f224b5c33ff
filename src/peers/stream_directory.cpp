#include "peers/stream_directory.h"

#include <algorithm>

#include "common/rendezvous.h"
#include "peers/message_time.h"
#include "peers/node_hash.h"

namespace fernmoor::peers {

namespace {

using gateway::StreamBinding;

/// Nodes that keep the record of a stream. More than half of all nodes may die at once.
constexpr size_t kOwnersPerStream = 3;
/// Nodes that are asked for a record: the owners, and those that may own it in another node's view
/// of the members.
constexpr size_t kNodesAsked = 5;
/// Two trips between regions, with an owner that waits for its share of a processor (50 ms).
constexpr Duration kAnswerTimeout{50000};
/// The second time only nodes that did not answer are asked, as messages may be lost.
constexpr int kTimesAsked = 2;
/// About 150 bytes each. At 22 streams begun per second and node that are kept for 45 s, a node
/// keeps 3,000.
constexpr size_t kMaxRecords = 16384;

void fillNote(uint64_t stream, const StreamBinding& binding, Duration keep,
              proto::StreamBindingNote& note) {
  note.set_stream(stream);
  note.set_pool(binding.pool);
  note.set_software(binding.software);
  note.set_keep_milliseconds(toMilliseconds(keep));
}

Duration keepOf(const proto::StreamBindingNote& note) {
  return std::chrono::milliseconds(note.keep_milliseconds());
}

}  // namespace

StreamDirectory::StreamDirectory(NodeId self, const Clock& clock, MessageSender& sender)
    : self_(self), clock_(clock), sender_(sender) {}

void StreamDirectory::setMembers(std::shared_ptr<const MembershipSnapshot> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (members == members_) {
    return;
  }
  members_ = std::move(members);
  ownerCandidates_.clear();
  isDraining_ = false;
  for (const Member& member : members_->members) {
    if (member.state == MemberState::kAlive) {
      ownerCandidates_.push_back(member.life.node);
    }
    isDraining_ |= member.life.node == self_ && member.state == MemberState::kDraining;
  }
}

std::vector<NodeId> StreamDirectory::owners(StreamKey stream, size_t count) const {
  return ownerCandidates_.empty() ? std::vector<NodeId>{self_}
                                  : rendezvousTop(stream, ownerCandidates_, count, nodeHash);
}

void StreamDirectory::store(Record record) {
  const auto known = records_.find(record.stream);
  if (known != records_.end()) {
    order_.erase(known->second);
  } else if (order_.size() >= kMaxRecords) {
    records_.erase(order_.back().stream);
    order_.pop_back();
  }
  const StreamKey stream = record.stream;
  order_.push_front(std::move(record));
  records_[stream] = order_.begin();
}

const StreamDirectory::Record* StreamDirectory::recordOf(StreamKey stream, Time now) const {
  const auto found = records_.find(stream);
  return found == records_.end() || now >= found->second->expiresAt ? nullptr : &*found->second;
}

void StreamDirectory::forgetExpired(Time now) {
  while (!order_.empty() && now >= order_.back().expiresAt) {
    records_.erase(order_.back().stream);
    order_.pop_back();
  }
}

size_t StreamDirectory::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return order_.size();
}

void StreamDirectory::note(const std::string& stream, const StreamBinding& binding, Duration keep) {
  const StreamKey key = stableHash(stream);
  std::vector<NodeId> nodes;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    nodes = owners(key, kOwnersPerStream);
    if (std::find(nodes.begin(), nodes.end(), self_) != nodes.end()) {
      store(Record{key, binding, clock_.now() + keep});
    }
  }
  proto::Envelope envelope;
  fillNote(key, binding, keep, *envelope.mutable_stream_binding()->mutable_notes()->add_notes());
  for (const NodeId node : nodes) {
    if (node != self_) {
      sender_.send(node, envelope);
    }
  }
}

std::optional<StreamBinding> StreamDirectory::find(const std::string& stream) {
  const StreamKey key = stableHash(stream);
  std::vector<NodeId> nodes;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (const Record* const own = recordOf(key, clock_.now())) {
      return own->binding;
    }
    nodes = owners(key, kNodesAsked);
  }
  nodes.erase(std::remove(nodes.begin(), nodes.end(), self_), nodes.end());
  Lookup lookup;
  for (int time = 0; time < kTimesAsked && !lookup.found && !nodes.empty(); ++time) {
    ask(key, nodes, lookup);
    nodes.clear();
    for (const auto& question : lookup.open) {
      nodes.push_back(question.second);
    }
    lookup.open.clear();
  }
  return lookup.found;
}

void StreamDirectory::ask(StreamKey stream, const std::vector<NodeId>& nodes, Lookup& lookup) {
  std::vector<std::pair<NodeId, proto::Envelope>> messages;
  std::vector<uint32_t> questions;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const NodeId node : nodes) {
      proto::Envelope envelope;
      proto::StreamBindingQuestion& question =
          *envelope.mutable_stream_binding()->mutable_question();
      question.set_question_id(++lastQuestion_);
      question.set_stream(stream);
      lookup.open[lastQuestion_] = node;
      pending_[lastQuestion_] = &lookup;
      questions.push_back(lastQuestion_);
      messages.emplace_back(node, std::move(envelope));
    }
  }
  for (const auto& [node, envelope] : messages) {
    sender_.send(node, envelope);
  }
  std::unique_lock<std::mutex> lock(mutex_);
  answered_.wait_for(lock, kAnswerTimeout, [&] { return lookup.found || lookup.open.empty(); });
  for (const uint32_t question : questions) {
    pending_.erase(question);
  }
}

void StreamDirectory::onQuestion(NodeLife from, const proto::StreamBindingQuestion& question,
                                 Time now, MessageSender& sender) {
  proto::Envelope envelope;
  proto::StreamBindingAnswer& answer = *envelope.mutable_stream_binding()->mutable_answer();
  answer.set_question_id(question.question_id());
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (const Record* const record = recordOf(question.stream(), now)) {
      fillNote(record->stream, record->binding, record->expiresAt - now, *answer.mutable_found());
    }
  }
  sender.send(from.node, envelope);
}

void StreamDirectory::onAnswer(const proto::StreamBindingAnswer& answer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = pending_.find(answer.question_id());
  if (found == pending_.end()) {
    return;
  }
  Lookup& lookup = *found->second;
  lookup.open.erase(answer.question_id());
  pending_.erase(found);
  if (answer.has_found()) {
    lookup.found = StreamBinding{answer.found().pool(), answer.found().software()};
  }
  answered_.notify_all();
}

void StreamDirectory::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                                MessageSender& sender) {
  const proto::StreamBindingMessage& message = envelope.stream_binding();
  if (message.has_question()) {
    onQuestion(from, message.question(), now, sender);
  } else if (message.has_answer()) {
    onAnswer(message.answer());
  } else if (message.has_notes()) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const proto::StreamBindingNote& note : message.notes().notes()) {
      store(Record{note.stream(), StreamBinding{note.pool(), note.software()}, now + keepOf(note)});
    }
  }
}

std::map<NodeId, proto::Envelope> StreamDirectory::handOver(Time now) const {
  std::map<NodeId, proto::Envelope> messages;
  for (const Record& record : order_) {
    if (now >= record.expiresAt) {
      continue;
    }
    for (const NodeId node : owners(record.stream, kOwnersPerStream)) {
      if (node != self_) {
        fillNote(record.stream, record.binding, record.expiresAt - now,
                 *messages[node].mutable_stream_binding()->mutable_notes()->add_notes());
      }
    }
  }
  return messages;
}

void StreamDirectory::onTick(Time now, MessageSender& sender) {
  std::map<NodeId, proto::Envelope> messages;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    forgetExpired(now);
    if (isDraining_ && !hasHandedOver_) {
      messages = handOver(now);
      hasHandedOver_ = true;
    }
  }
  for (const auto& [node, envelope] : messages) {
    sender.send(node, envelope);
  }
}

}  // namespace fernmoor::peers
