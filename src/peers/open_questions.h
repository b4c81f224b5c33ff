/// @file
/// Questions of this node to others that are not answered yet. A short question is answered within
/// a moment or not at all. One that pulls much is told within a moment that its answer waits, and
/// behind how much; then it has the time that this takes, twice as long after each time that was
/// too short: a retry that comes sooner than the answer can only adds to what holds it up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "common/ids.h"
#include "common/time.h"

namespace fernmoor::peers {

/// One question.
struct OpenQuestion {
  NodeId to;
  Time askedAt;
  Time givenUpAt;
  bool pulls = false;  ///< Asks for all that this node lacks, however large.
};

/// Not thread-safe.
class OpenQuestions {
 public:
  /// @param firstId differs between lives of a node, so that a late answer to a former one is not
  ///                taken for an answer to this.
  explicit OpenQuestions(uint32_t firstId) : lastId_(firstId) {}

  /// Notes a short question. @return its id, never 0.
  uint32_t ask(NodeId to, Time now);
  /// Notes one that pulls; none may be open.
  uint32_t pull(NodeId to, Time now);
  /// The node said that its answer to a pull waits. @param bytes that it sends until then.
  void noteQueued(uint32_t id, NodeId from, size_t bytes, Time now);
  bool isPulling() const { return pullId_ != 0; }
  size_t size() const { return questions_.size(); }
  /// @return the question that this is the answer to, which is open no more; nothing if that node
  ///         was not asked it, or it was given up.
  std::optional<OpenQuestion> takeAnswered(uint32_t id, NodeId from);
  /// What was pulled is here, by whatever way: nothing is pulled, and the next time begins anew.
  void notePulled();
  /// Gives up what was not answered in time. @return how many questions that were.
  size_t giveUp(Time now);

 private:
  uint32_t add(const OpenQuestion& question);

  std::map<uint32_t, OpenQuestion> questions_;
  uint32_t lastId_;
  uint32_t pullId_ = 0;  ///< 0: none is open.
  int failedPulls_ = 0;  ///< Queued answers that did not come in time, since one did.
};

}  // namespace fernmoor::peers
