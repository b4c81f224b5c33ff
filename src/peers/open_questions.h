/// @file
/// Tracks the questions of this node to others that are not answered yet, and their deadlines. A
/// short question is answered at once or not at all. The answer to a pull may be large; the asked
/// node then reports at once how many bytes are queued before it, and the deadline is extended by
/// the time that these take. The extension doubles after each one that was too short: a retry that
/// is sent before the answer can arrive only adds to the queue that delays it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "common/ids.h"
#include "common/time.h"

namespace fernmoor::peers {

/// A question that was sent to another node.
struct OpenQuestion {
  NodeId to;
  Time askedAt;
  Time deadline;
  bool pulls = false;  ///< Asks for all changes that this node is missing, however large.
};

/// Not thread-safe.
class OpenQuestions {
 public:
  /// @param firstId differs between incarnations of a node, so that a late answer to a question of
  ///                a previous incarnation is not taken for an answer to this one.
  explicit OpenQuestions(uint32_t firstId) : lastId_(firstId) {}

  /// Adds a short question. @return its id, never 0.
  uint32_t ask(NodeId to, Time now);
  /// Adds a pull; no other pull may be open. @return its id, never 0.
  uint32_t pull(NodeId to, Time now);
  /// Extends the deadline of a pull whose answer is queued at the asked node.
  /// @param bytes queued there, the answer included.
  void noteQueued(uint32_t id, NodeId from, size_t bytes, Time now);
  bool isPulling() const { return pullId_ != 0; }
  size_t size() const { return questions_.size(); }
  /// Closes an answered question.
  /// @return the question; nothing if it was not sent to that node or has expired.
  std::optional<OpenQuestion> takeAnswered(uint32_t id, NodeId from);
  /// Closes the open pull, as its data has arrived by whatever way, and resets the extension.
  void completePull();
  /// Drops the questions whose deadline has passed. @return their number.
  size_t expire(Time now);

 private:
  uint32_t add(const OpenQuestion& question);

  std::map<uint32_t, OpenQuestion> questions_;
  uint32_t lastId_;
  uint32_t pullId_ = 0;  ///< 0 if no pull is open.
  int failedPulls_ = 0;  ///< Pulls since the last successful one whose extended deadline passed.
};

}  // namespace fernmoor::peers
