/// @file
/// Chooses the back end for a request. For prompts with shared parts all nodes compute the same
/// home of a part by rendezvous hashing, so that a part is read at one engine; a home with more
/// than its share of requests is passed over (consistent hashing with bounded loads, Mirrokni et
/// al., 2018). Other requests go to the back end with the fewest requests of this node, with a
/// preference for this node's zone.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "backends/backend_set.h"
#include "common/random.h"
#include "gateway/engine_loads.h"
#include "gateway/incoming_request.h"
#include "gateway/kind_separation.h"
#include "gateway/wait_policy.h"

namespace fernmoor::gateway {

/// Inputs of a choice other than the request.
struct ChoiceContext {
  std::string zone;             ///< Zone of this node.
  std::set<std::string> tried;  ///< Ids of back ends that this request was sent to.
  EngineRoom room;              ///< Capacity of each engine of the pool.
  Time now;
  /// The engines that serve requests of this kind; nothing: all.
  std::optional<EngineSide> side = std::nullopt;
  bool servesModels = true;  ///< The pool's engines are language-model servers.
};

/// The urgency of requests that are served only with capacity that no other request needs.
inline constexpr int kLeastUrgent = 9;

/// A choice and the known load of the back end.
struct BackendChoice {
  BackendView backend;
  Duration permitWait{0};                 ///< Time to wait before the request is sent.
  uint64_t pendingTokens = 0;             ///< Of all nodes if the load is known, else of this one.
  uint64_t readingTokens = 0;             ///< Of its prompt, to be read there; 0: unknown.
  double tokensPerSecond = 0;             ///< At which it is read there; 0: unknown.
  std::optional<LoadTicket> ticket;       ///< To be released when the request ends.
  std::optional<ExpectedTimes> expected;  ///< Set if the load is known.
  ClaimState claim = ClaimState::kUnknown;  ///< What is known of the engine's capacity for it.
  Duration returnAfter{0};  ///< From when capacity is reserved for its retry; 0: none is.
};

/// Chooses, for a request with shared parts, the engine that first finishes the work ahead of the
/// request's own prompt: the queued prompts of all nodes and, at any engine but the home, the
/// transfer of the shared parts. Queries the nodes that track the load for all nodes, home by home,
/// until the wait is no longer than reading the request's own prompt. Stalled engines are skipped,
/// and so are those that have reached the limit they state. If long and short prompts are
/// separated, an engine of the other side is used only if none of the request's own side is usable
/// or has room for it in time. Candidates that were tried or are resting are excluded; avoided ones
/// are used only if all are avoided, and leaving ones only if no other is left. Blocks on answers
/// of other nodes.
/// @return std::nullopt for a request without shared parts, or if no candidate is left.
std::optional<BackendChoice> chooseHome(const IncomingRequest& request,
                                        const std::vector<BackendView>& candidates,
                                        const ChoiceContext& context, EngineLoads& loads);

/// Chooses by the number of this node's running requests, with a penalty for other zones, among the
/// candidates that accept a request now. In a pool without models whose engines list fewer slots
/// than there are nodes, this node's own count says little: two candidates are drawn at random, and
/// the one with fewer requests of all nodes is chosen (power of two choices, Mitzenmacher, 2001).
/// Blocks on answers of other nodes in such pools, and if candidates state limits.
/// @return std::nullopt if no candidate is left.
std::optional<BackendChoice> chooseLeastLoaded(const IncomingRequest& request,
                                               const std::vector<BackendView>& candidates,
                                               const ChoiceContext& context, EngineLoads& loads,
                                               Random& random);

/// Chooses the candidate that permits a request soonest, within `longestWait`. Used if no candidate
/// accepts one now because of stated limits. Blocks on answers of other nodes.
/// @return std::nullopt if none permits it in time.
std::optional<BackendChoice> chooseSoonestPermit(const IncomingRequest& request,
                                                 const std::vector<BackendView>& candidates,
                                                 const ChoiceContext& context, EngineLoads& loads,
                                                 Duration longestWait);

/// Counts a request whose answer will be late at an engine, as the least urgent and with all of its
/// remaining time to wait. Blocks on the answer of another node.
/// @return std::nullopt if that node did not answer.
std::optional<LoadAnswer> reserveAsLeastUrgent(const IncomingRequest& request,
                                               const BackendView& backend,
                                               const ChoiceContext& context, EngineLoads& loads);

/// @return the known time until a candidate may accept a request, if stated limits and rests are
///         the reason why none was chosen; std::nullopt if a candidate neither rests nor states a
///         limit, or if all are leaving.
std::optional<Duration> soonestTaker(const std::vector<BackendView>& candidates,
                                     const EngineLoads& loads, Time now);

/// @return 0 (the most urgent) to 9; the priority of the tenant counts before that of the row.
int urgencyOf(const IncomingRequest& request);

/// @param weightsVersion of the engine; it holds no parts that were read with other weights.
/// @return the load of the request on an engine, and when its reservation expires.
EngineDemand demandOf(const IncomingRequest& request, uint64_t weightsVersion, Time now);

/// @return the scope under which engines cache a request's parts: requests of an isolated tenant
///         share them with no other tenant, no other tenant uses what one cached before it became
///         isolated, and nothing is shared across weights versions.
std::string cacheScopeOf(const IncomingRequest& request, uint64_t weightsVersion);

}  // namespace fernmoor::gateway
