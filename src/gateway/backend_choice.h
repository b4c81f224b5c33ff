/// @file
/// Which back end serves a request. For prompts with shared parts each node computes the same home
/// of a part by rendezvous hashing, so that a part is read at one engine; a home that has more than
/// its share passes a request on (consistent hashing with bounded loads, Mirrokni et al., 2018).
/// Other requests go to the back end with the fewest of this node's requests, its own zone first.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "backends/backend_set.h"
#include "common/random.h"
#include "gateway/engine_loads.h"
#include "gateway/incoming_request.h"

namespace fernmoor::gateway {

/// What a choice goes by beside the request.
struct ChoiceContext {
  std::string zone;             ///< This node's.
  std::set<std::string> tried;  ///< Ids of back ends that this request was sent to.
  EngineRoom room;              ///< Of each engine of the pool.
  Time now;
};

/// What a request has to expect of an engine.
struct ExpectedTimes {
  Duration wait{0};        ///< From now until its prompt is read.
  Duration firstEvent{0};  ///< From now.
};

/// A choice, and what is known of the back end's load.
struct BackendChoice {
  BackendView backend;
  Duration permitWait{0};            ///< To be waited for before the request is sent.
  uint64_t pendingTokens = 0;        ///< Of all nodes where somebody answered, else of this one.
  std::optional<LoadTicket> ticket;  ///< To be released when the request left the back end.
  std::optional<ExpectedTimes> expected;  ///< Where somebody answered.
};

/// Chooses for a request with shared parts the engine that is done first with what stands before
/// the request's own prompt: what waits there, of all nodes, and, anywhere but at the home, the
/// shared parts, which have to be brought. Asks those who count for all nodes, home after home,
/// until the wait is no longer than the request's own reading; engines where nothing moves are
/// passed over, and so are those that take no further request now by the limits that they state.
/// Candidates that were tried or that rest are left out, avoided ones unless all are, and those
/// that leave unless no other is left. Waits for other nodes.
/// @return nothing for a request without shared parts, or where no candidate is left.
std::optional<BackendChoice> chooseHome(const IncomingRequest& request,
                                        const std::vector<BackendView>& candidates,
                                        const ChoiceContext& context, EngineLoads& loads);

/// Chooses by what this node has running, its own zone first, among those that take a request now.
/// Waits for other nodes where candidates state limits.
/// @return nothing where no candidate is left.
std::optional<BackendChoice> chooseLeastLoaded(const IncomingRequest& request,
                                               const std::vector<BackendView>& candidates,
                                               const ChoiceContext& context, EngineLoads& loads,
                                               Random& random);

/// Chooses the candidate that permits a request soonest, within `longestWait`. For where none takes
/// one now by the limits that they state. Waits for other nodes.
/// @return nothing where none does so in time.
std::optional<BackendChoice> chooseSoonestPermit(const IncomingRequest& request,
                                                 const std::vector<BackendView>& candidates,
                                                 const ChoiceContext& context, EngineLoads& loads,
                                                 Duration longestWait);

/// @return the time until a candidate may take a request, as far as is known, where it is for what
///         they state that none is chosen; nothing where one neither rests nor states a limit, or
///         all leave.
std::optional<Duration> soonestTaker(const std::vector<BackendView>& candidates,
                                     const EngineLoads& loads, Time now);

/// @return what the request takes of an engine, and when it can be forgotten there.
EngineDemand demandOf(const IncomingRequest& request, Time now);

/// @return the name under which engines keep a request's cached parts: requests of an isolated
///         tenant share with nobody else's, and none share across versions of the weights.
std::string cacheScopeOf(const IncomingRequest& request, uint64_t weightsVersion);

}  // namespace fernmoor::gateway
