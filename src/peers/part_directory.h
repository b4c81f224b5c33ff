/// @file
/// Where cached parts of prompts are, known to all nodes: each part has one node that keeps its
/// hints, found by rendezvous hashing over the living nodes. A request asks that node before it
/// chooses an engine and tells it when the engine has read the part: two short messages a part and
/// request, however many nodes there are. Hints only: a lost or wrong one costs time.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "common/role.h"
#include "envelope.pb.h"
#include "gateway/part_memory.h"
#include "membership/membership_snapshot.h"

namespace fernmoor::peers {

/// Thread-safe.
class PartDirectory : public Role, public gateway::PartHints {
 public:
  /// @param sender outlives the directory; used on the threads that call find() and note().
  PartDirectory(NodeId self, const Clock& clock, MessageSender& sender);

  void setMembers(std::shared_ptr<const MembershipSnapshot> members);

  std::vector<gateway::PartHint> find(const std::vector<gateway::PartKey>& parts) override;
  void note(const std::vector<gateway::PartKey>& parts, uint64_t engine, bool isStored) override;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  /// One call of find() that waits for answers.
  struct Pending {
    std::vector<gateway::PartHint>* hints;
    std::vector<size_t> indexes;  ///< Positions of the asked parts in `hints`.
    size_t* openQuestions;
  };

  NodeId keeperOf(gateway::PartKey part) const;
  void onQuestion(NodeLife from, const proto::PartQuestion& question, Time now,
                  MessageSender& sender);
  void onAnswer(const proto::PartAnswer& answer, Time now);

  const NodeId self_;
  const Clock& clock_;
  MessageSender& sender_;
  gateway::PartMemory memory_;
  mutable std::mutex mutex_;
  std::condition_variable answered_;
  std::shared_ptr<const MembershipSnapshot> members_;
  std::map<uint32_t, Pending> pending_;
  uint32_t lastQuestion_ = 0;
};

}  // namespace fernmoor::peers
