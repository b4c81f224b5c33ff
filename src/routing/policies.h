/// @file
/// Factory functions of the routing policies; each policy has its own source file in this folder.
/// To create the policy that is named in the settings, use makeRoutingPolicy().
#pragma once

#include <memory>

#include "routing/routing_policy.h"

namespace fernmoor {

/// Cycles through the engines, separately for each model.
std::unique_ptr<RoutingPolicy> makeRoundRobin(const Knobs& knobs);
/// Chooses the engine with the lowest load score.
std::unique_ptr<RoutingPolicy> makeLeastLoaded(const Knobs& knobs);
/// Chooses the less loaded of two random engines. M. Mitzenmacher, "The power of two choices in
/// randomized load balancing", 2001.
std::unique_ptr<RoutingPolicy> makePowerOfTwoChoices(const Knobs& knobs);
/// Chooses the first home of the prefix, regardless of load.
std::unique_ptr<RoutingPolicy> makePrefixRendezvous(const Knobs& knobs);
/// Chooses the first home of the prefix whose load stays within a bound. V. Mirrokni, M. Thorup,
/// M. Zadimoghaddam, "Consistent hashing with bounded loads", 2018.
std::unique_ptr<RoutingPolicy> makeBoundedPrefixRendezvous(const Knobs& knobs);
/// Chooses the first home of the prefix unless its load exceeds a threshold; then a random engine,
/// whatever its load. O. N. Feldheim, O. Gurel-Gurevich, J. Li, "Long-term balanced allocation via
/// thinning", 2021.
std::unique_ptr<RoutingPolicy> makeTwoThinning(const Knobs& knobs);
/// Chooses the engine with the least expected time to first token.
std::unique_ptr<RoutingPolicy> makeLeastExpectedTime(const Knobs& knobs);

}  // namespace fernmoor
