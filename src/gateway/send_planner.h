/// @file
/// Plans where and how a request is sent next: which back end, which cached parts it takes from
/// where, whether what it reads is saved. What is known is read once for a plan.
#pragma once

#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "backends/backend_set.h"
#include "backends/wanted_weights.h"
#include "common/random.h"
#include "gateway/backend_choice.h"
#include "gateway/backend_protocol.h"
#include "gateway/engine_loads.h"
#include "gateway/incoming_request.h"
#include "gateway/part_memory.h"
#include "gateway/source_experience.h"

namespace fernmoor::gateway {

/// What plans are made from; all outlive the planner.
struct PlannerServices {
  const Clock& clock;
  const BackendSet& backends;
  const DesiredWeights& wanted;
  PartHints& parts;
  EngineLoads& loads;
};

/// A request that is to be sent.
struct PlanInput {
  const IncomingRequest& request;
  const std::set<std::string>& tried;  ///< Ids of back ends that it was sent to before.
  const std::string& resumeAfter;      ///< Id of the last event that the caller has.
  bool mayBeRefused = false;           ///< No back end has it yet, so it need not be sent.
};

/// A plan, and the load by which its back end was chosen.
struct PlannedSend {
  SendPlan send;
  int inFlight = 0;                       ///< Of this node.
  uint64_t pendingTokens = 0;             ///< Of all nodes where `ticket` is set, else of this one.
  uint64_t lowestWeights = 0;             ///< Lowest version that its back end might hold; 0: any.
  std::optional<LoadTicket> ticket;       ///< To be released when the request left its back end.
  std::optional<ExpectedTimes> expected;  ///< Where they are known.
  bool isTooLate = false;  ///< It can't be in time and may be refused; don't send it.
  Duration permitWait{0};  ///< To be waited for before it is sent.
  /// Set where all back ends are at the limits that they state, or rest: the time until one takes a
  /// request.
  std::optional<Duration> unpermittedFor;
};

/// Thread-safe.
class SendPlanner {
 public:
  /// @param zone this node's.
  SendPlanner(PlannerServices services, std::string zone, uint64_t randomSeed);

  /// @return nothing where no back end is left; may wait some milliseconds for other nodes.
  std::optional<PlannedSend> plan(const PlanInput& input);
  /// Tells that a request's prompt was read; it still runs.
  void promptRead(const LoadTicket& ticket) { services_.loads.promptRead(ticket); }
  /// Tells that a request left its engine.
  void release(const LoadTicket& ticket) { services_.loads.release(ticket); }
  /// Tells that a request is not sent after all.
  void giveBack(const LoadTicket& ticket) { services_.loads.giveBack(ticket); }
  /// Tells where the request's shared parts were read.
  /// @param took from the send to the first event.
  void notePartsRead(const IncomingRequest& request, const SendPlan& plan, Duration took);

 private:
  /// @param lowest version that the back end must hold.
  std::optional<BackendChoice> choose(const PlanInput& input, std::vector<BackendView> members,
                                      uint64_t lowest, Time now);
  uint64_t drawSeed();
  /// @return the time for which the request may wait for a permit.
  Duration longestWaitOf(const PlanInput& input, Time now);
  /// @return the time until a back end takes a request; nothing where it isn't for what they state
  ///         that none is chosen.
  std::optional<Duration> unpermittedFor(std::vector<BackendView> members, uint64_t lowest,
                                         Time now) const;
  /// Chooses so that the request begins before the bound of newer weights, however long it waits.
  /// @param lowest set to the lowest version that the back end might hold.
  std::optional<BackendChoice> chooseInForce(const PlanInput& input,
                                             const std::vector<BackendView>& members, Time now,
                                             uint64_t& lowest);
  void planCache(const PlanInput& input, const std::vector<BackendView>& members, Time now,
                 SendPlan& plan);

  PlannerServices services_;
  std::string zone_;
  SourceExperience experience_;
  std::mutex randomMutex_;
  Random random_;
};

}  // namespace fernmoor::gateway
