#include "peers/part_directory.h"

#include <algorithm>
#include <set>

#include "peers/answer_timeout.h"
#include "peers/message_time.h"

namespace fernmoor::peers {

namespace {

using gateway::PartHint;
using gateway::PartKey;

/// About 150 bytes per part.
constexpr size_t kMaxParts = 8192;
/// Parts of one prompt, from its beginning, that are looked up and reported. Parts that are never
/// looked up are not reported either.
constexpr size_t kMaxPartsPerPrompt = 64;
/// A node that has run for this time has received every hint that is still useful.
constexpr Duration kWarmUpTime{20000000};

bool isKnown(const PartHint& hint) {
  return hint.engine != 0 || hint.isStored;
}

}  // namespace

PartDirectory::PartDirectory(NodeId self, const Clock& clock, MessageSender& sender)
    : self_(self), clock_(clock), startedAt_(clock.now()), sender_(sender), memory_(kMaxParts) {}

void PartDirectory::setMembers(std::shared_ptr<const MembershipSnapshot> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  members_ = std::move(members);
}

KeyOwners PartDirectory::ownersOf(PartKey part) const {
  return rendezvousOwners(part, self_, members_.get());
}

bool PartDirectory::isNew(Time now) const {
  return now - startedAt_ < kWarmUpTime;
}

std::vector<PartHint> PartDirectory::find(const std::vector<PartKey>& parts) {
  Lookup lookup;
  lookup.hints.resize(parts.size());
  lookup.isSettled.resize(parts.size());
  ask(Rank::kPrimary, parts, lookup);
  ask(Rank::kSecondary, parts, lookup);
  return lookup.hints;
}

void PartDirectory::ask(Rank rank, const std::vector<PartKey>& parts, Lookup& lookup) {
  std::vector<uint32_t> questions;
  std::vector<std::pair<NodeId, proto::Envelope>> messages;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Time now = clock_.now();
    std::map<NodeId, std::vector<size_t>> byOwner;
    for (size_t index = 0; index < std::min(parts.size(), kMaxPartsPerPrompt); ++index) {
      if (lookup.isSettled[index]) {
        continue;
      }
      const KeyOwners owners = ownersOf(parts[index]);
      const NodeId owner = rank == Rank::kPrimary ? owners.primary : owners.secondary;
      if (owner == self_) {
        lookup.hints[index] = memory_.find(parts[index]);
        lookup.isSettled[index] = isKnown(lookup.hints[index]) || !isNew(now);
      } else {
        byOwner[owner].push_back(index);
      }
    }
    for (auto& [owner, indexes] : byOwner) {
      proto::Envelope envelope;
      proto::PartQuestion& question = *envelope.mutable_part()->mutable_question();
      question.set_question_id(++lastQuestion_);
      for (const size_t index : indexes) {
        question.add_parts(parts[index]);
      }
      pending_[lastQuestion_] = Pending{&lookup, std::move(indexes)};
      questions.push_back(lastQuestion_);
      ++lookup.openQuestions;
      messages.emplace_back(owner, std::move(envelope));
    }
  }
  for (const auto& [owner, envelope] : messages) {
    sender_.send(owner, envelope);
  }
  std::unique_lock<std::mutex> lock(mutex_);
  answered_.wait_for(lock, kAnswerTimeout, [&] { return lookup.openQuestions == 0; });
  for (const uint32_t question : questions) {
    pending_.erase(question);
  }
  lookup.openQuestions = 0;
}

void PartDirectory::note(const std::vector<PartKey>& parts, uint64_t engine, bool isStored) {
  std::map<NodeId, proto::Envelope> messages;
  const Time now = clock_.now();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (size_t index = 0; index < std::min(parts.size(), kMaxPartsPerPrompt); ++index) {
      const PartKey part = parts[index];
      const KeyOwners owners = ownersOf(part);
      for (const NodeId owner : std::set<NodeId>{owners.primary, owners.secondary}) {
        if (owner == self_) {
          memory_.note(part, engine, isStored, now);
          continue;
        }
        proto::PartNote& note = *messages[owner].mutable_part()->mutable_note();
        note.add_parts(part);
        note.set_engine(engine);
        note.set_stored(isStored);
      }
    }
  }
  for (const auto& [owner, envelope] : messages) {
    sender_.send(owner, envelope);
  }
}

void PartDirectory::onQuestion(NodeLife from, const proto::PartQuestion& question, Time now,
                               MessageSender& sender) {
  proto::Envelope envelope;
  proto::PartAnswer& answer = *envelope.mutable_part()->mutable_answer();
  answer.set_question_id(question.question_id());
  answer.set_is_new(isNew(now));
  for (int index = 0; index < question.parts_size(); ++index) {
    const PartHint hint = memory_.find(question.parts(index));
    if (!isKnown(hint)) {
      continue;
    }
    proto::PartHintEntry& entry = *answer.add_hints();
    entry.set_index(static_cast<uint32_t>(index));
    entry.set_engine(hint.engine);
    entry.set_read_age_milliseconds(toMilliseconds(now - hint.readAt));
    entry.set_stored(hint.isStored);
    entry.set_stored_age_milliseconds(toMilliseconds(now - hint.storedAt));
  }
  sender.send(from.node, envelope);
}

void PartDirectory::onAnswer(const proto::PartAnswer& answer, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = pending_.find(answer.question_id());
  if (found == pending_.end()) {
    return;
  }
  const Pending& pending = found->second;
  Lookup& lookup = *pending.lookup;
  for (const size_t index : pending.indexes) {
    lookup.isSettled[index] = !answer.is_new();
  }
  for (const proto::PartHintEntry& entry : answer.hints()) {
    if (entry.index() >= pending.indexes.size()) {
      continue;
    }
    const size_t index = pending.indexes[entry.index()];
    PartHint& hint = lookup.hints[index];
    hint.engine = entry.engine();
    hint.readAt = now - std::chrono::milliseconds(entry.read_age_milliseconds());
    hint.isStored = entry.stored();
    hint.storedAt = now - std::chrono::milliseconds(entry.stored_age_milliseconds());
    lookup.isSettled[index] = true;
  }
  --lookup.openQuestions;
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
