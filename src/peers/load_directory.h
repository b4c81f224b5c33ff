/// @file
/// What waits and runs at engines, of all nodes: each engine has one node that counts for it, found
/// by rendezvous hashing over the living nodes. A request asks that node before it is sent, which
/// counts it, and tells it when its prompt was read and when it ended: four short messages a
/// request in the usual case, however many nodes there are. An answer that does not come costs a
/// few milliseconds and the knowledge.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

#include "common/role.h"
#include "envelope.pb.h"
#include "gateway/pending_work.h"
#include "membership/membership_snapshot.h"

namespace fernmoor::peers {

/// Thread-safe.
class LoadDirectory : public Role, public gateway::EngineLoads {
 public:
  /// @param sender outlives the directory; used on the threads that call reserve() and release().
  LoadDirectory(NodeId self, const Clock& clock, MessageSender& sender);

  void setMembers(std::shared_ptr<const MembershipSnapshot> members);

  std::optional<gateway::LoadAnswer> reserve(uint64_t engine, const gateway::EngineDemand& demand,
                                             const gateway::EngineRoom& room,
                                             uint64_t bound) override;
  void promptRead(const gateway::LoadTicket& ticket) override;
  void release(const gateway::LoadTicket& ticket) override;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

  /// @return engines that this node counts for now.
  size_t engineCount() const { return work_.size(); }

 private:
  /// A question that waits for its answer.
  struct Question {
    std::optional<gateway::LoadAnswer> answer;
  };

  NodeId keeperOf(uint64_t engine) const;
  /// Tells the engine's keeper that a request's prompt was read, or that it ended.
  void tell(const gateway::LoadTicket& ticket, bool stillRuns);
  void noteEnd(uint64_t owner, const proto::LoadRelease& release, Time now);
  void forgetFormerLife(NodeLife from);
  void onQuestion(NodeLife from, const proto::LoadQuestion& question, Time now,
                  MessageSender& sender);
  void onAnswer(NodeLife from, const proto::LoadAnswer& answer, MessageSender& sender);

  const NodeId self_;
  const Clock& clock_;
  MessageSender& sender_;
  gateway::PendingWork work_;
  mutable std::mutex mutex_;
  std::condition_variable answered_;
  std::shared_ptr<const MembershipSnapshot> members_;
  std::map<uint32_t, Question> questions_;
  uint32_t lastQuestion_ = 0;
  std::map<NodeId, Incarnation> askers_;  ///< In which life each node asked last.
};

}  // namespace fernmoor::peers
