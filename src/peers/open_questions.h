/// @file
/// Questions of this node to others that are not answered yet. A short question is answered within
/// a moment or not at all; one that pulls much takes as long as the link needs, so it has a time of
/// its own, which doubles each time it was too short: a retry that comes sooner than the answer can
/// only adds to what holds it up.
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
  /// Notes a short question. @return its id, never 0.
  uint32_t ask(NodeId to, Time now);
  /// Notes one that pulls; none may be open. @param bytes to be sent until it is answered.
  uint32_t pull(NodeId to, size_t bytes, Time now);
  bool isPulling() const { return pullId_ != 0; }
  size_t size() const { return questions_.size(); }
  /// @return the question with that id, which is open no more; nothing if it was not.
  std::optional<OpenQuestion> takeAnswered(uint32_t id);
  /// A pull was answered. @param isWhole with all that was asked for: the next has its usual time.
  void notePulled(bool isWhole) { failedPulls_ = isWhole ? 0 : failedPulls_; }
  /// @return how many pulls in a row were not answered in time.
  int failedPulls() const { return failedPulls_; }
  /// Gives up what was not answered in time. @return how many questions that were.
  size_t giveUp(Time now);

 private:
  uint32_t add(const OpenQuestion& question);

  std::map<uint32_t, OpenQuestion> questions_;
  uint32_t lastId_ = 0;
  uint32_t pullId_ = 0;  ///< 0: none is open.
  int failedPulls_ = 0;  ///< Since one was answered.
};

}  // namespace fernmoor::peers
