#include "peers/open_questions.h"

#include <algorithm>
#include <cassert>

namespace fernmoor::peers {

namespace {

/// A question for which neither an answer nor a notice that it is queued arrives within this time
/// expires, and another node is asked.
constexpr Duration kAnswerTimeout{300000};
/// Rate at which a send queue is assumed to drain, in bytes per second. The slowest links carry
/// 1.25 MB/s, part of which is used by requests and responses.
constexpr double kAssumedBytesPerSecond = 0.5e6;
/// Maximum extension before any doubling. The asked node may stop while its answer is queued; the
/// shortest bound on the age of a table is 2 s, and another node can still answer a pull within the
/// second after this.
constexpr Duration kMaxFirstWait{1500000};
/// Maximum doublings of the extension; by then a link of 1.25 MB/s has carried 30 MB.
constexpr int kMaxDoublings = 4;

Duration queuedTimeout(size_t bytes, int failedPulls) {
  const Duration needed =
      kAnswerTimeout + fromSeconds(static_cast<double>(bytes) / kAssumedBytesPerSecond);
  return std::min(needed, kMaxFirstWait) * (1 << std::min(failedPulls, kMaxDoublings));
}

}  // namespace

uint32_t OpenQuestions::add(const OpenQuestion& question) {
  ++lastId_;
  lastId_ += lastId_ == 0 ? 1 : 0;  // 0 marks messages that answer no question.
  questions_[lastId_] = question;
  return lastId_;
}

uint32_t OpenQuestions::ask(NodeId to, Time now) {
  return add(OpenQuestion{to, now, now + kAnswerTimeout, false});
}

uint32_t OpenQuestions::pull(NodeId to, Time now) {
  assert(!isPulling() && "only one pull may be open, or the link carries the same data twice");
  pullId_ = add(OpenQuestion{to, now, now + kAnswerTimeout, true});
  return pullId_;
}

void OpenQuestions::noteQueued(uint32_t id, NodeId from, size_t bytes, Time now) {
  const auto found = questions_.find(id);
  if (found != questions_.end() && id == pullId_ && found->second.to == from) {
    found->second.deadline = now + queuedTimeout(bytes, failedPulls_);
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

void OpenQuestions::completePull() {
  questions_.erase(pullId_);
  pullId_ = 0;
  failedPulls_ = 0;
}

size_t OpenQuestions::expire(Time now) {
  size_t expired = 0;
  for (auto each = questions_.begin(); each != questions_.end();) {
    if (now <= each->second.deadline) {
      ++each;
      continue;
    }
    if (each->second.pulls) {
      pullId_ = 0;
      failedPulls_ += each->second.deadline - each->second.askedAt > kAnswerTimeout ? 1 : 0;
    }
    each = questions_.erase(each);
    ++expired;
  }
  return expired;
}

}  // namespace fernmoor::peers
