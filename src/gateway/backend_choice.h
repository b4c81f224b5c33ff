/// @file
/// Which back end serves a request. For prompts with shared parts each node computes the same home
/// of a part by rendezvous hashing, so that a part is read at one engine without the nodes asking
/// each other; a home that has more than its share of this node's requests passes one on
/// (consistent hashing with bounded loads, Mirrokni et al., 2018). Other requests go to the back
/// end with the fewest of this node's requests, its own zone first.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "backends/backend_set.h"
#include "common/random.h"
#include "gateway/incoming_request.h"

namespace fernmoor::gateway {

/// What a choice goes by beside the request.
struct ChoiceContext {
  std::string zone;             ///< This node's.
  std::set<std::string> tried;  ///< Ids of back ends that this request was sent to.
};

/// A choice.
struct BackendChoice {
  BackendView backend;
};

/// @return the candidates in the order in which a request with shared parts is to try them: its
///         home first, those beyond their share of this node's requests last. Empty for other
///         requests. Candidates that were tried are left out, and avoided ones unless all are.
std::vector<BackendView> homesInOrder(const IncomingRequest& request,
                                      const std::vector<BackendView>& candidates,
                                      const ChoiceContext& context);

/// Chooses by what this node knows alone.
/// @return nothing where no candidate is left.
std::optional<BackendChoice> chooseBackend(const IncomingRequest& request,
                                           const std::vector<BackendView>& candidates,
                                           const ChoiceContext& context, Random& random);

/// @return the name under which engines keep a request's cached parts: requests of an isolated
///         tenant share with nobody else's, and none share across versions of the weights.
std::string cacheScopeOf(const IncomingRequest& request, uint64_t weightsVersion);

}  // namespace fernmoor::gateway
