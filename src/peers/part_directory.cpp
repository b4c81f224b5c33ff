#include "peers/part_directory.h"

#include <algorithm>

#include "peers/node_hash.h"

namespace fernmoor::peers {

namespace {

using gateway::PartHint;
using gateway::PartKey;

/// About 150 bytes each.
constexpr size_t kPartsKept = 8192;
/// A request goes on without the answers that have not come by then: two trips between zones.
constexpr Duration kFindTimeout{6000};
constexpr size_t kMostPartsAsked = 64;

uint32_t ageInMilliseconds(Time since, Time now) {
  return static_cast<uint32_t>(std::max<int64_t>(0, (now - since).count() / 1000));
}

}  // namespace

PartDirectory::PartDirectory(NodeId self, const Clock& clock, MessageSender& sender)
    : self_(self), clock_(clock), sender_(sender), memory_(kPartsKept) {}

void PartDirectory::setMembers(std::shared_ptr<const MembershipSnapshot> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  members_ = std::move(members);
}

NodeId PartDirectory::keeperOf(PartKey part) const {
  return rendezvousKeeper(part, self_, members_.get());
}

std::vector<PartHint> PartDirectory::find(const std::vector<PartKey>& parts) {
  std::vector<PartHint> hints(parts.size());
  std::map<NodeId, std::vector<size_t>> byKeeper;
  size_t open = 0;
  std::vector<uint32_t> questions;
  std::vector<std::pair<NodeId, proto::Envelope>> messages;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (size_t index = 0; index < std::min(parts.size(), kMostPartsAsked); ++index) {
      byKeeper[keeperOf(parts[index])].push_back(index);
    }
    for (const auto& [keeper, indexes] : byKeeper) {
      if (keeper == self_) {
        for (const size_t index : indexes) {
          hints[index] = memory_.find(parts[index]);
        }
        continue;
      }
      proto::Envelope envelope;
      proto::PartQuestion& question = *envelope.mutable_part()->mutable_question();
      question.set_question_id(++lastQuestion_);
      for (const size_t index : indexes) {
        question.add_parts(parts[index]);
      }
      pending_[lastQuestion_] = Pending{&hints, indexes, &open};
      questions.push_back(lastQuestion_);
      ++open;
      messages.emplace_back(keeper, std::move(envelope));
    }
  }
  for (const auto& [keeper, envelope] : messages) {
    sender_.send(keeper, envelope);
  }
  std::unique_lock<std::mutex> lock(mutex_);
  answered_.wait_for(lock, kFindTimeout, [&] { return open == 0; });
  for (const uint32_t question : questions) {
    pending_.erase(question);
  }
  return hints;
}

void PartDirectory::note(const std::vector<PartKey>& parts, uint64_t engine, bool isStored) {
  std::map<NodeId, proto::Envelope> messages;
  const Time now = clock_.now();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const PartKey part : parts) {
      const NodeId keeper = keeperOf(part);
      if (keeper == self_) {
        memory_.note(part, engine, isStored, now);
        continue;
      }
      proto::PartNote& note = *messages[keeper].mutable_part()->mutable_note();
      note.add_parts(part);
      note.set_engine(engine);
      note.set_stored(isStored);
    }
  }
  for (const auto& [keeper, envelope] : messages) {
    sender_.send(keeper, envelope);
  }
}

void PartDirectory::onQuestion(NodeLife from, const proto::PartQuestion& question, Time now,
                               MessageSender& sender) {
  proto::Envelope envelope;
  proto::PartAnswer& answer = *envelope.mutable_part()->mutable_answer();
  answer.set_question_id(question.question_id());
  for (int index = 0; index < question.parts_size(); ++index) {
    const PartHint hint = memory_.find(question.parts(index));
    if (hint.engine == 0 && !hint.isStored) {
      continue;
    }
    proto::PartHintEntry& entry = *answer.add_hints();
    entry.set_index(static_cast<uint32_t>(index));
    entry.set_engine(hint.engine);
    entry.set_read_age_milliseconds(ageInMilliseconds(hint.readAt, now));
    entry.set_stored(hint.isStored);
    entry.set_stored_age_milliseconds(ageInMilliseconds(hint.storedAt, now));
  }
  sender.send(from.node, envelope);
}

void PartDirectory::onAnswer(const proto::PartAnswer& answer, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = pending_.find(answer.question_id());
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  for (const proto::PartHintEntry& entry : answer.hints()) {
    if (entry.index() >= pending.indexes.size()) {
      continue;
    }
    PartHint& hint = (*pending.hints)[pending.indexes[entry.index()]];
    hint.engine = entry.engine();
    hint.readAt = now - std::chrono::milliseconds(entry.read_age_milliseconds());
    hint.isStored = entry.stored();
    hint.storedAt = now - std::chrono::milliseconds(entry.stored_age_milliseconds());
  }
  --*pending.openQuestions;
  pending_.erase(found);
  answered_.notify_all();
}

void PartDirectory::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                              MessageSender& sender) {
  const proto::PartMessage& message = envelope.part();
  if (message.has_question()) {
    onQuestion(from, message.question(), now, sender);
  } else if (message.has_answer()) {
    onAnswer(message.answer(), now);
  } else if (message.has_note()) {
    const auto& parts = message.note().parts();
    for (const uint64_t part : parts) {
      memory_.note(part, message.note().engine(), message.note().stored(), now);
    }
  }
}

void PartDirectory::onTick(Time, MessageSender&) {}

}  // namespace fernmoor::peers
