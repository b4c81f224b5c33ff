#include "peers/open_questions.h"

#include <algorithm>
#include <cassert>

namespace fernmoor::peers {

namespace {

/// A short question without an answer by then is given up, and another node is asked.
constexpr Duration kAnswerTimeout{300000};
/// Bytes a second; the narrowest links carry 1.25 MB/s, some of it requests and answers.
constexpr double kAssumedRate = 0.5e6;
/// Doublings of a pull's time; by then it takes a hundred times what the link should need.
constexpr int kMostDoublings = 6;

Duration pullTimeout(size_t bytes, int failedPulls) {
  const Duration once = kAnswerTimeout + fromSeconds(static_cast<double>(bytes) / kAssumedRate);
  return once * (1 << std::min(failedPulls, kMostDoublings));
}

}  // namespace

uint32_t OpenQuestions::add(const OpenQuestion& question) {
  lastId_ += lastId_ + 1 == 0 ? 2 : 1;  // 0 stands for what was not asked.
  questions_[lastId_] = question;
  return lastId_;
}

uint32_t OpenQuestions::ask(NodeId to, Time now) {
  return add(OpenQuestion{to, now, now + kAnswerTimeout, false});
}

uint32_t OpenQuestions::pull(NodeId to, size_t bytes, Time now) {
  assert(!isPulling() && "one pull at a time, or the link carries the same twice");
  pullId_ = add(OpenQuestion{to, now, now + pullTimeout(bytes, failedPulls_), true});
  return pullId_;
}

std::optional<OpenQuestion> OpenQuestions::takeAnswered(uint32_t id) {
  const auto found = questions_.find(id);
  if (found == questions_.end()) {
    return std::nullopt;
  }
  const OpenQuestion question = found->second;
  questions_.erase(found);
  if (question.pulls) {
    pullId_ = 0;
  }
  return question;
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
      ++failedPulls_;
    }
    each = questions_.erase(each);
    ++givenUp;
  }
  return givenUp;
}

}  // namespace fernmoor::peers
