/// @file
/// Probes engines' owners for how much of a prompt an engine has cached and how loaded it is.
/// Owners also push the loads of their engines each second. Probes carry sampled hashes only, and
/// answers are reused for a short time, so that the cost stays within the control budget.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "common/role.h"
#include "engine/owned_engines.h"
#include "engine/probe_facts.h"
#include "engine/probe_waiter.h"

namespace fernmoor {

struct ProbeCounters {
  uint64_t questions = 0;        ///< Prompts probed.
  uint64_t queriesSent = 0;      ///< Messages to owners.
  uint64_t enginesReused = 0;    ///< Answered from cached answers.
  uint64_t enginesLocal = 0;     ///< Answered by this node's own views.
  uint64_t answersReceived = 0;  ///< In time or late.
  uint64_t queriesTimedOut = 0;
  uint64_t pushesSent = 0;
};

/// Thread-safe.
class ProbeRole : public Role {
 public:
  /// @return the engine's owner, or none while it isn't known.
  using OwnerLookup = std::function<std::optional<NodeId>(const EngineId&)>;
  /// @return the nodes to which owned engines' loads are pushed: those of this node's zone.
  using Audience = std::function<std::vector<NodeId>()>;
  /// Receives an engine's state from a push or an answer; zone and address are not filled in.
  using StateListener = std::function<void(const EngineState&)>;

  /// @param owned outlives the role.
  ProbeRole(NodeId self, OwnedEngines& owned, OwnerLookup ownerOf, Audience audience,
            StateListener onState, const Knobs& knobs);

  /// Probes how much of the chain each engine holds. Answers known already are in the waiter at
  /// once. The caller waits for completion for at most the knob probeTimeout, and proceeds with
  /// the answers received by then.
  std::shared_ptr<ProbeWaiter> ask(const BlockChain& chain, const std::vector<EngineLife>& engines,
                                   Time now, MessageSender& sender);

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

  ProbeCounters counters() const;

 private:
  struct PendingQuery {
    std::shared_ptr<ProbeWaiter> waiter;
    NodeId owner;
    ChainSample sample;
    std::vector<EngineLife> engines;
    Time sentAt;
  };
  /// Content of an answer, to be passed on without holding the lock.
  struct AnswerOutcome {
    std::vector<ProbeResult> results;
    std::vector<EngineState> states;
  };
  /// Per-engine push state for an engine announced before.
  struct PushedProfile {
    uint32_t digest = 0;
    int64_t repetitionsLeft = 0;  ///< The profile is sent a few times, since messages get lost.
  };

  ProbeResult knownResult(const EngineLife& life, const ChainSample& sample, Time now);
  void sendQuery(NodeId owner, const PendingQuery& pending, MessageSender& sender);
  void onQuery(NodeLife from, const proto::ProbeQuery& query, Time now, MessageSender& sender);
  void onAnswer(NodeLife from, const proto::ProbeAnswer& answer, Time now);
  void onPush(const proto::LoadPush& push, Time now);
  void pushLoads(Time now, MessageSender& sender);
  bool isPushDue(Time now);
  void processAnswer(const proto::ProbedEngine& engine, const PendingQuery& pending, Time now,
                     AnswerOutcome& outcome);
  bool needsProfile(const EngineId& engine, uint32_t digest);
  void dropTimedOut(Time now);

  const NodeId self_;
  OwnedEngines& owned_;
  const OwnerLookup ownerOf_;
  const Audience audience_;
  const StateListener onState_;
  const Knobs knobs_;

  mutable RankedMutex mutex_{LockRank::kRouting};
  ProbeFacts facts_;
  std::unordered_map<uint32_t, PendingQuery> pending_;
  uint32_t lastQueryId_ = 0;
  Time lastPush_;
  uint64_t pushes_ = 0;
  std::map<EngineId, PushedProfile> pushedProfiles_;
  std::map<EngineId, EngineState> remoteEngines_;  ///< Profiles of other owners' engines.
  ProbeCounters counters_;
};

}  // namespace fernmoor
