/// @file
/// Distributed accounting of the requests that wait and run at engines, over all nodes. Each engine
/// has one owner node, chosen by rendezvous hashing over the live nodes. Before a request is sent
/// to an engine, its node reserves load at the owner; it notifies the owner when the prompt was
/// read and when the request ended. This takes four short messages per request in the usual case,
/// whatever the number of nodes. If the answer is missing, the request loses a few milliseconds and
/// is placed without knowing the engine's load.
///
/// When the owner of an engine changes, each node reports its open requests there to the new owner,
/// which counts them without a decision (see load_directory_renewals.cpp). Requests of a node that
/// is dead or was restarted are dropped.
///
/// The owner also grants the permits of an engine that states a rate limit (see
/// gateway/engine_permits.h), in the answer to the same question, and admits requests to an engine
/// that states it is brittle (see gateway/admission_window.h). Engines of a service are brittle
/// together: one that has not answered yet, as after a crash, is taken for as brittle as the
/// others.
///
/// Statements that an engine makes in its responses (a rate limit, that it is brittle or leaving,
/// or a pause that it asks for) concern all nodes. The node that receives one forwards it to the
/// owner of the engine, and the owner broadcasts it; both repeat this while the statement is in
/// force. Questions and answers carry statements too, and new members are sent all of them, so that
/// the next owner of an engine knows its statements. Limits are stored here with their permits;
/// leaving and pauses are stored in BackendSet, where the choice of an engine reads them.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "backends/backend_set.h"
#include "common/log_budget.h"
#include "common/role.h"
#include "envelope.pb.h"
#include "gateway/admission_window.h"
#include "gateway/engine_permits.h"
#include "gateway/pending_work.h"
#include "gateway/stated_limits.h"
#include "membership/membership_snapshot.h"

namespace fernmoor::peers {

/// Budgets of the log lines on engine statements that change or end, and on the permits granted.
inline constexpr LogBudgetBounds kChangeLines{5, 40};
inline constexpr LogBudgetBounds kPermitLines{2, 20};

/// Thread-safe.
class LoadDirectory : public Role, public gateway::EngineLoads {
 public:
  /// @param sender must outlive the directory; used on the threads that call reserve() and
  ///        release().
  /// @param engines the listed engines, updated with their statements; must outlive the directory.
  ///        May be null: engines then have no names in the log, limits are never forgotten because
  ///        an engine is no longer listed, and only limits are stored.
  LoadDirectory(NodeId self, const Clock& clock, MessageSender& sender,
                BackendSet* engines = nullptr);

  void setMembers(std::shared_ptr<const MembershipSnapshot> members);
  /// Sets the fraction of the known nodes that this node can reach. Stated limits are scaled by it,
  /// so that both sides of a network partition together stay within them.
  void setReachableShare(double share);

  std::optional<gateway::LoadAnswer> reserve(uint64_t engine, const gateway::EngineDemand& demand,
                                             const gateway::EngineRoom& room,
                                             uint64_t bound) override;
  void promptRead(const gateway::LoadTicket& ticket) override;
  void release(const gateway::LoadTicket& ticket) override;
  size_t nodeCount() const override;
  void giveBack(const gateway::LoadTicket& ticket) override;
  void noteStatement(const gateway::EngineStatement& statement) override;
  std::optional<Duration> permitDue(uint64_t engine) const override;
  bool mayGoUnasked(uint64_t engine) override;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

  /// @return number of engines whose load this node accounts for now.
  size_t engineCount() const { return work_.size(); }
  /// @return number of engines known to state a limit.
  size_t limitedCount() const { return limits_.count(); }
  /// @return number of engines that state they are brittle.
  size_t brittleCount() const { return brittle_.count(); }
  /// @return number of open requests that this node reported to new owners of engines, itself
  ///         included, since the start.
  uint64_t renewedCount() const { return renewedCount_; }
  /// @return reservations that this node refused for want of room at engines, since the start.
  gateway::RoomRefusals roomRefusals() const { return work_.refusals(); }
  gateway::ReturnCounts returnCounts() const { return work_.returns(); }

 private:
  /// Repetition schedule of a statement.
  struct Announcement {
    Time lastSentAt;
    Duration interval{0};  ///< Until the next repetition; grows.
  };
  /// A request of this node that is counted at the owner of its engine.
  struct OpenRequest {
    uint64_t engine = 0;
    gateway::EngineDemand demand;
    gateway::EngineRoom room;
    Time forgetAt;
    bool isRead = false;
    NodeLife owner;                    ///< The owner that counts it.
    std::vector<NodeId> formerOwners;  ///< They may still count it, and may own the engine again.
  };
  using Renewals = std::map<NodeId, std::map<uint32_t, OpenRequest>>;  ///< By new owner and id.

  struct MemberChanges {
    std::vector<NodeId> added;    ///< In an incarnation that was not present before.
    std::vector<NodeId> removed;  ///< Gone, or present in another incarnation.
  };

  /// A question that is not answered yet.
  struct Question {
    bool isCounted = true;
    std::optional<gateway::LoadAnswer> answer;
  };

  /// Owners of the engines that have statements in force. Recomputed only if the members or the
  /// engines changed, because each lookup iterates over all members.
  struct Owners {
    std::shared_ptr<const MembershipSnapshot> members;
    std::vector<uint64_t> engines;
    std::map<uint64_t, NodeId> byEngine;  ///< By engine.
  };

  NodeId ownerOf(uint64_t engine) const;
  bool isOwner(uint64_t engine) const { return ownerOf(engine) == self_; }
  /// As ownerOf(), with the incarnation; call with `mutex_` held. Looked up among all members once
  /// for each engine and snapshot of the members.
  NodeLife ownerLifeOf(uint64_t engine) const;
  /// @return the id of a listed engine; empty if it isn't listed.
  std::string engineName(uint64_t engine) const;
  /// Reserves load for a request at an engine that this node owns, and grants its permit.
  gateway::LoadAnswer reserveLocally(uint64_t engine, const gateway::PendingRequest& request,
                                     const gateway::EngineRoom& room, uint64_t bound, Time now);
  proto::Envelope makeQuestion(uint32_t id, uint64_t engine, const gateway::EngineDemand& demand,
                               const gateway::EngineRoom& room, uint64_t bound) const;
  /// Counts a request, and its permit if it has one.
  gateway::LoadAnswer count(uint64_t engine, const gateway::PendingRequest& request,
                            const gateway::EngineRoom& room, uint64_t bound, bool isBrittle,
                            Time now);
  /// Admits and counts a request at a brittle engine.
  /// @param survives rejections per second that the engine survives.
  gateway::LoadAnswer reserveAtBrittle(uint64_t engine, const gateway::PendingRequest& request,
                                       const gateway::EngineRoom& room, uint64_t bound,
                                       double survives, Time now);
  /// @return the rejections per second that the engine survives, as it or another one of its
  /// service
  ///         states; nothing if it is not known to be brittle.
  std::optional<double> survivedRejections(uint64_t engine, Time now) const;
  /// Records whether the engines of a service are brittle, for those that have not answered yet.
  void notePoolBrittleness(uint64_t engine, const gateway::LimitStatement& statement,
                           gateway::LimitChange change);
  /// @return the share of the known nodes that this node can reach.
  double reachableShare() const;
  /// @return requests per second that this node permits under a stated limit.
  double localPermitRate(double statedRate) const;
  /// @return all statements of the engine that this node knows.
  gateway::EngineStatement statementOf(uint64_t engine, Time now) const;
  /// @return engines with any statement in force.
  std::vector<uint64_t> statedEngines(Time now) const;
  /// Applies a statement that this node or another one received from an engine.
  /// @param from the node that forwarded it; nothing if this node received it from the engine.
  /// @return whether it changed what this node knows.
  bool applyStatement(const gateway::EngineStatement& statement, std::optional<NodeId> from,
                      Time now);
  bool applyLimit(const gateway::EngineStatement& statement, std::optional<NodeId> from, Time now);
  bool applyBrittleness(const gateway::EngineStatement& statement, std::optional<NodeId> from,
                        Time now);
  bool applyLeaving(const gateway::EngineStatement& statement, std::optional<NodeId> from,
                    Time now);
  bool applyRest(const gateway::EngineStatement& statement, std::optional<NodeId> from, Time now);
  /// Sends the statements of the engine to all nodes if this node owns it, otherwise to its owner,
  /// and schedules the repetitions.
  void announce(uint64_t engine, Time now);
  void sendStatements(const std::vector<uint64_t>& engines, const std::vector<NodeId>& to,
                      Time now);
  /// Call on the thread that runs onTick().
  const Owners& owners(Time now);
  /// Repeats the statements that are due, and sends new members the statements that they need.
  /// @param added new members.
  void announceDue(const std::vector<NodeId>& added, Time now);
  /// Sends a new member the statements of all engines that this node owns, and of those that the
  /// new member owns from now on.
  void sendStatementsTo(NodeId node, const Owners& known, Time now);
  /// @return the changes of the members since the last call.
  MemberChanges memberChanges();
  /// Logs a change of the statements of an engine, within a budget.
  void logChange(const std::string& change, uint64_t engine, std::optional<NodeId> from,
                 Duration age, Time now);
  void logPermits(Time now);
  std::vector<NodeId> otherNodes() const;
  /// Notifies the owner of the engine that the prompt of a request was read, that the request
  /// ended, or that it was not sent.
  void sendRelease(const proto::LoadRelease& release, NodeId owner);
  void applyRelease(uint64_t asker, const proto::LoadRelease& release, Time now);
  void forgetPreviousIncarnation(NodeLife from);
  /// Stops counting the requests of a node, and logs it.
  void forgetRequestsOf(NodeId node, Time now);
  /// Stops counting the requests of nodes that are gone, and of previous incarnations.
  void forgetRemoved(const std::vector<NodeId>& removed, Time now);
  /// Stores a request that the owner of its engine counts, until its end.
  /// @param askedMembers members of which the owner was chosen.
  void noteOpen(uint32_t id, OpenRequest request, const MembershipSnapshot* askedMembers);
  /// Removes a request of this node that has ended, also at the nodes that owned its engine before.
  /// @return the owner of its engine, which is not notified yet.
  NodeId closeRequest(const gateway::LoadTicket& ticket);
  /// Notifies a node that a request of this node has ended.
  void releaseAt(NodeId node, uint64_t engine, uint32_t id);
  /// Reports the open requests whose engines have new owners to these.
  void renewOpenRequests(Time now);
  /// @return the open requests to report; each counts as reported from now on.
  Renewals takeRenewals(Time now);
  void sendRenewals(NodeId owner, const std::map<uint32_t, OpenRequest>& requests, Time now);
  void onRenewal(NodeLife from, const proto::LoadRenewal& renewal, Time now);
  void logRefusals(Time now);
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
  /// By engine, the rejections per second that it states it survives.
  gateway::StatedLimits brittle_;
  gateway::AdmissionWindows windows_;
  std::mutex brittleMutex_;  ///< Held from the decision on an admission until it is counted.
  LogBudget changeLog_{kChangeLines};
  LogBudget permitLog_{kPermitLines};
  LogBudget renewalLog_{kChangeLines};
  LogBudget refusalLog_{kPermitLines};
  mutable std::mutex mutex_;
  std::condition_variable answered_;
  std::shared_ptr<const MembershipSnapshot> members_;
  mutable std::unordered_map<uint64_t, NodeLife> ownerLives_;  ///< By engine, under `members_`.
  std::map<uint32_t, Question> questions_;
  uint32_t lastQuestion_ = 0;
  std::map<NodeId, Incarnation> askerIncarnations_;  ///< Incarnation in which each node last asked.
  std::map<uint32_t, OpenRequest> open_;             ///< By id.
  bool mustRenew_ = false;                           ///< The owner of an engine may have changed.
  Time nextRenewalAt_;
  std::atomic<uint64_t> renewedCount_{0};
  double reachableShare_ = 1.0;
  /// By pool, the newest statement of any of its engines that it is brittle.
  std::map<std::string, gateway::LimitStatement> brittlePools_;
  std::atomic<bool> knowsBrittlePools_{false};
  /// Of engines that this node owns, or from which it received the statement itself.
  std::map<uint64_t, Announcement> announcements_;
  Owners owners_;                               ///< Used on the thread that runs onTick().
  std::map<NodeId, Incarnation> knownMembers_;  ///< Members at the last tick.
  std::shared_ptr<const MembershipSnapshot>
      knownSnapshot_;  ///< Snapshot that `knownMembers_` was built from.
  Time permitsLoggedAt_;
  Time refusalsLoggedAt_;
  gateway::RoomRefusals loggedRefusals_;
};

}  // namespace fernmoor::peers
