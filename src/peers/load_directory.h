/// @file
/// What waits and runs at engines, of all nodes: each engine has one node that counts for it, found
/// by rendezvous hashing over the living nodes. A request asks that node before it is sent, which
/// counts it, and tells it when its prompt was read and when it ended: four short messages a
/// request in the usual case, however many nodes there are. An answer that does not come costs a
/// few milliseconds and the knowledge.
///
/// The same node gives the permits of an engine that states a limit (see gateway/engine_permits.h),
/// with the answer to the same question.
///
/// What an engine states in its answers, a limit, that it leaves, or that it wants rest, concerns
/// all nodes: who is told it tells the node that counts for the engine, which tells all others,
/// both again and again while it holds. Questions and answers carry it too, and nodes that have
/// just begun are told it, so that whoever counts for an engine next knows it. Limits are kept
/// here, with their permits; leaving and rest by the set of back ends, where choices look.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "backends/backend_set.h"
#include "common/log_budget.h"
#include "common/role.h"
#include "envelope.pb.h"
#include "gateway/engine_permits.h"
#include "gateway/pending_work.h"
#include "gateway/stated_limits.h"
#include "membership/membership_snapshot.h"

namespace fernmoor::peers {

/// Lines on what engines state, change and end, and on the permits that a node gave.
inline constexpr LogBudgetBounds kChangeLines{5, 40};
inline constexpr LogBudgetBounds kPermitLines{2, 20};

/// Thread-safe.
class LoadDirectory : public Role, public gateway::EngineLoads {
 public:
  /// @param sender outlives the directory; used on the threads that call reserve() and release().
  /// @param engines that are listed, told what they state; outlives the directory. Null: none is
  ///        named, none is taken for gone, and only limits are kept.
  LoadDirectory(NodeId self, const Clock& clock, MessageSender& sender,
                BackendSet* engines = nullptr);

  void setMembers(std::shared_ptr<const MembershipSnapshot> members);
  /// Sets the part of the known nodes that this one can hear of: the two sides of a cut together
  /// keep the limits that engines state.
  void setReachableShare(double share);

  std::optional<gateway::LoadAnswer> reserve(uint64_t engine, const gateway::EngineDemand& demand,
                                             const gateway::EngineRoom& room,
                                             uint64_t bound) override;
  void promptRead(const gateway::LoadTicket& ticket) override;
  void release(const gateway::LoadTicket& ticket) override;
  void giveBack(const gateway::LoadTicket& ticket) override;
  void noteStatement(const gateway::EngineStatement& told) override;
  std::optional<Duration> permitDue(uint64_t engine) const override;
  bool mayGoUnasked(uint64_t engine) override;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

  /// @return engines that this node counts for now.
  size_t engineCount() const { return work_.size(); }
  /// @return engines that state a limit, as far as this node knows.
  size_t limitedCount() const { return limits_.count(); }

 private:
  /// When a statement is told again.
  struct Announcement {
    Time toldAt;
    Duration pause{0};  ///< Until the next time; grows.
  };
  /// A question that waits for its answer.
  struct Question {
    bool isCounted = true;
    std::optional<gateway::LoadAnswer> answer;
  };

  /// The engines that state something, by who counts for them: looked up anew only where the
  /// members or the engines changed, as each look goes over all members.
  struct Owners {
    std::shared_ptr<const MembershipSnapshot> members;
    std::vector<uint64_t> engines;
    std::map<uint64_t, NodeId> of;  ///< By engine.
  };

  NodeId ownerOf(uint64_t engine) const;
  bool isOwner(uint64_t engine) const { return ownerOf(engine) == self_; }
  /// @return the id of a listed engine; empty: it isn't listed.
  std::string nameOf(uint64_t engine) const;
  /// Counts a request at an engine that this node counts for, and gives its permit.
  gateway::LoadAnswer reserveHere(uint64_t engine, const gateway::PendingRequest& request,
                                  const gateway::EngineRoom& room, uint64_t bound, Time now);
  proto::Envelope questionOf(uint32_t id, uint64_t engine, const gateway::EngineDemand& demand,
                             const gateway::EngineRoom& room, uint64_t bound) const;
  /// @return requests a second that this node permits under a stated limit.
  double rateHere(double statedRate) const;
  /// @return all that this node knows that the engine states.
  gateway::EngineStatement statementOf(uint64_t engine, Time now) const;
  /// @return engines that state anything.
  std::vector<uint64_t> statedEngines(Time now) const;
  /// Takes a statement that this node or another one was told.
  /// @param from another node; nothing: this one was told by the engine.
  /// @return whether it changed what was known.
  bool takeStatement(const gateway::EngineStatement& told, std::optional<NodeId> from, Time now);
  bool takeLimit(const gateway::EngineStatement& told, std::optional<NodeId> from, Time now);
  bool takeLeaving(const gateway::EngineStatement& told, std::optional<NodeId> from, Time now);
  bool takeRest(const gateway::EngineStatement& told, std::optional<NodeId> from, Time now);
  /// Tells all nodes where this one counts for the engine, else the one that does; now and then
  /// again and again.
  void announce(uint64_t engine, Time now);
  void sendStatements(const std::vector<uint64_t>& engines, const std::vector<NodeId>& to,
                      Time now);
  /// Used on the thread that ticks.
  const Owners& owners(Time now);
  /// Tells the statements that are due again, and nodes that have just come what they have to know.
  void announceDue(Time now);
  /// Tells a node that has just come all that engines state for which this one counts, and what
  /// others state for which that one counts from now on.
  void tellNewcomer(NodeId node, const Owners& known, Time now);
  /// @return nodes that were not told of since they began.
  std::vector<NodeId> newcomers();
  /// Writes what changed about an engine, within a budget.
  void logChange(const std::string& change, uint64_t engine, std::optional<NodeId> from,
                 Duration age, Time now);
  void logPermits(Time now);
  std::vector<NodeId> otherNodes() const;
  /// Tells the engine's owner that a request's prompt was read, that it ended, or was not sent.
  void tell(const proto::LoadRelease& release);
  void noteEnd(uint64_t asker, const proto::LoadRelease& release, Time now);
  void forgetFormerLife(NodeLife from);
  void onQuestion(NodeLife from, const proto::LoadQuestion& question, Time now,
                  MessageSender& sender);
  void onAnswer(NodeLife from, const proto::LoadAnswer& answer, MessageSender& sender);
  void onStatements(NodeLife from, const proto::EngineStatements& statements, Time now);

  const NodeId self_;
  const Clock& clock_;
  MessageSender& sender_;
  BackendSet* const engines_;
  gateway::PendingWork work_;
  gateway::StatedLimits limits_;
  gateway::EnginePermits permits_;
  LogBudget changeLog_{kChangeLines};
  LogBudget permitLog_{kPermitLines};
  mutable std::mutex mutex_;
  std::condition_variable answered_;
  std::shared_ptr<const MembershipSnapshot> members_;
  std::map<uint32_t, Question> questions_;
  uint32_t lastQuestion_ = 0;
  std::map<NodeId, Incarnation> askers_;  ///< In which life each node asked last.
  double reachableShare_ = 1.0;
  /// Of engines that this node counts for, or that told it themselves.
  std::map<uint64_t, Announcement> announcements_;
  Owners owners_;                       ///< Used on the thread that ticks.
  std::map<NodeId, Incarnation> told_;  ///< Nodes that were there at the last tick.
  std::shared_ptr<const MembershipSnapshot> toldMembers_;  ///< What `told_` was made from.
  Time permitsLoggedAt_;
};

}  // namespace fernmoor::peers
