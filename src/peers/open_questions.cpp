#include "peers/open_questions.h"

#include <algorithm>
#include <cassert>

namespace fernmoor::peers {

namespace {

/// A question without an answer, or word that it waits, is given up then, and another node is
/// asked.
constexpr Duration kAnswerTimeout{300000};
/// Bytes a second that a queue is assumed to drain at: the narrowest links carry 1.25 MB/s, some of
/// which are requests and answers.
constexpr double kAssumedRate = 0.5e6;
/// The node may stop while its answer waits; the shortest bound of a table is 2 s, and another node
/// can still answer a pull within the second after this.
constexpr Duration kLongestFirstWait{1500000};
/// Doublings of the wait; by then a link of 1.25 MB/s has carried 30 MB.
constexpr int kMostDoublings = 4;

Duration queuedTime(size_t bytes, int failedPulls) {
  const Duration needed = kAnswerTimeout + fromSeconds(static_cast<double>(bytes) / kAssumedRate);
  return std::min(needed, kLongestFirstWait) * (1 << std::min(failedPulls, kMostDoublings));
}

}  // namespace

uint32_t OpenQuestions::add(const OpenQuestion& question) {
  ++lastId_;
  lastId_ += lastId_ == 0 ? 1 : 0;  // 0 stands for what was not asked.
  questions_[lastId_] = question;
  return lastId_;
}

uint32_t OpenQuestions::ask(NodeId to, Time now) {
  return add(OpenQuestion{to, now, now + kAnswerTimeout, false});
}

uint32_t OpenQuestions::pull(NodeId to, Time now) {
  assert(!isPulling() && "one pull at a time, or the link carries the same twice");
  pullId_ = add(OpenQuestion{to, now, now + kAnswerTimeout, true});
  return pullId_;
}

void OpenQuestions::noteQueued(uint32_t id, NodeId from, size_t bytes, Time now) {
  const auto found = questions_.find(id);
  if (found != questions_.end() && id == pullId_ && found->second.to == from) {
    found->second.givenUpAt = now + queuedTime(bytes, failedPulls_);
  }
}

std::optional<OpenQuestion> OpenQuestions::takeAnswered(uint32_t id, NodeId from) {
  const auto found = questions_.find(id);
  if (found == questions_.end() || found->second.to != from) {
    return std::nullopt;
  }
  const OpenQuestion question = found->second;
  questions_.erase(found);
  if (question.pulls) {
    pullId_ = 0;
  }
  return question;
}

void OpenQuestions::notePulled() {
  questions_.erase(pullId_);
  pullId_ = 0;
  failedPulls_ = 0;
}

size_t OpenQuestions::giveUp(Time now) {
  size_t givenUp = 0;
  for (auto each = questions_.begin(); each != questions_.end();) {
    if (now <= each->second.givenUpAt) {
      ++each;
      continue;
    }
    if (each->second.pulls) {
      pullId_ = 0;
      failedPulls_ += each->second.givenUpAt - each->second.askedAt > kAnswerTimeout ? 1 : 0;
    }
    each = questions_.erase(each);
    ++givenUp;
  }
  return givenUp;
}

}  // namespace fernmoor::peers
