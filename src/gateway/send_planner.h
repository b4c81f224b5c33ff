/// @file
/// Plans the next send of a request: the back end, the source of cached prompt parts, and whether
/// the parts it reads are saved. The state that a plan is based on is read once per plan.
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
#include "gateway/kind_sides.h"
#include "gateway/part_memory.h"
#include "gateway/source_experience.h"

namespace fernmoor::gateway {

/// Dependencies of the planner; all outlive it.
struct PlannerServices {
  const Clock& clock;
  const BackendSet& backends;
  const DesiredWeights& wanted;
  PartHints& parts;
  EngineLoads& loads;
};

/// A request to be sent and its previous attempts.
struct PlanInput {
  const IncomingRequest& request;
  const std::set<std::string>& tried;  ///< Ids of back ends it was sent to before.
  const std::string& resumeAfter;      ///< Id of the last event sent to the caller.
  /// The only software version at which it may go on; nothing: any.
  const std::optional<std::string>& software;
  bool mayBeRefused = false;  ///< It was not sent yet, so it may be rejected.
};

/// A plan and the load by which its back end was chosen.
struct PlannedSend {
  SendPlan send;
  int inFlight = 0;            ///< Requests of this node at the back end.
  uint64_t pendingTokens = 0;  ///< Of all nodes if `ticket` is set, else of this one.
  SentPrompt prompt;
  uint64_t lowestWeights = 0;             ///< Lowest acceptable version; 0: any.
  std::optional<LoadTicket> ticket;       ///< To be released when the request ends.
  std::optional<ExpectedTimes> expected;  ///< If known.
  WaitVerdict verdict;                    ///< `send` is not set if it refuses the request.
  Duration permitWait{0};                 ///< Time to wait before it is sent.
  /// Set if all back ends have reached the limits they state, or are resting: the time until one
  /// accepts a request.
  std::optional<Duration> unpermittedFor;
};

/// Thread-safe.
class SendPlanner {
 public:
  /// @param zone zone of this node.
  SendPlanner(PlannerServices services, std::string zone, uint64_t randomSeed);

  /// Blocks for some milliseconds if other nodes have to be asked.
  /// @return std::nullopt if no back end is left.
  std::optional<PlannedSend> plan(const PlanInput& input);
  /// Reports that the prompt of a request was read; the request still runs.
  void promptRead(const LoadTicket& ticket) { services_.loads.promptRead(ticket); }
  /// Reports that a request has ended at its engine.
  void release(const LoadTicket& ticket) { services_.loads.release(ticket); }
  /// Returns the ticket of a request that was not sent.
  void giveBack(const LoadTicket& ticket) { services_.loads.giveBack(ticket); }
  /// Records that a request was sent to an engine, that its first event arrived, and that it left
  /// the engine.
  /// @param prompt, tokensToRead as planned.
  /// @param took time from the send to the first event.
  void noteSent(const IncomingRequest& request, const SentPrompt& prompt);
  void noteFirstEvent(const IncomingRequest& request, uint64_t tokensToRead, Duration took);
  void noteEnded(const IncomingRequest& request);
  /// Records at which engine the request's shared parts were read.
  /// @param took time from the send to the first event.
  void notePartsRead(const IncomingRequest& request, const SendPlan& plan, Duration took);

 private:
  /// @param lowest lowest weights version that the back end may hold.
  /// @param side the engines that serve requests of this kind; nothing: all.
  std::optional<BackendChoice> choose(const PlanInput& input, std::vector<BackendView> members,
                                      uint64_t lowest, const std::optional<EngineSide>& side,
                                      Time now);
  /// @return the engines that serve requests of this kind; nothing: all.
  std::optional<EngineSide> sideOf(const IncomingRequest& request,
                                   const std::vector<BackendView>& members, Time now);
  /// Decides whether a request is sent to the chosen back end now. Counts it there anew if it is
  /// sent as the least urgent.
  WaitVerdict decide(const PlanInput& input, const BackendChoice& chosen, PlannedSend& planned);
  uint64_t drawSeed();
  /// @return how long the request may wait for a permit.
  Duration maxPermitWait(const PlanInput& input, Time now);
  /// @return the time until a back end accepts a request; std::nullopt if stated limits and rests
  ///         are not the reason why none was chosen.
  std::optional<Duration> unpermittedFor(std::vector<BackendView> members, uint64_t lowest,
                                         Time now) const;
  /// Chooses a back end where the request is expected to begin before newer weights become
  /// mandatory, including its wait there.
  /// @param lowest set to the lowest weights version that was acceptable.
  std::optional<BackendChoice> chooseBeforeWeightsBound(const PlanInput& input,
                                                        const std::vector<BackendView>& members,
                                                        Time now, uint64_t& lowest);
  /// As chooseBeforeWeightsBound(); a stream that may be resumed begins where it can go on, if
  /// there is room.
  std::optional<BackendChoice> chooseWhereItCanGoOn(const PlanInput& input,
                                                    const std::vector<BackendView>& members,
                                                    Time now, uint64_t& lowest);
  void planCache(const PlanInput& input, const std::vector<BackendView>& members, Time now,
                 SendPlan& plan);

  PlannerServices services_;
  std::string zone_;
  SourceExperience experience_;
  KindSides kindSides_;
  std::mutex randomMutex_;
  Random random_;
};

}  // namespace fernmoor::gateway
