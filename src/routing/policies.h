/// @file
/// Makers of the routing policies, one for each file of this folder. Settings name a policy and
/// go through makeRoutingPolicy() instead.
#pragma once

#include <memory>

#include "routing/routing_policy.h"

namespace fernmoor {

/// Each engine in turn, for each model apart.
std::unique_ptr<RoutingPolicy> makeRoundRobin(const Knobs& knobs);
/// The engine with the least load score.
std::unique_ptr<RoutingPolicy> makeLeastLoaded(const Knobs& knobs);
/// The less loaded of two engines drawn at random. M. Mitzenmacher, "The power of two choices in
/// randomized load balancing", 2001.
std::unique_ptr<RoutingPolicy> makePowerOfTwoChoices(const Knobs& knobs);
/// The first home of the prefix, whatever its load.
std::unique_ptr<RoutingPolicy> makePrefixRendezvous(const Knobs& knobs);
/// The first home of the prefix whose load stays under a bound. V. Mirrokni, M. Thorup,
/// M. Zadimoghaddam, "Consistent hashing with bounded loads", 2018.
std::unique_ptr<RoutingPolicy> makeBoundedPrefixRendezvous(const Knobs& knobs);
/// The first home of the prefix, refused once when its load is over a threshold; then any engine
/// drawn at random, unseen. O. N. Feldheim, O. Gurel-Gurevich, J. Li, "Long-term balanced
/// allocation via thinning", 2021.
std::unique_ptr<RoutingPolicy> makeTwoThinning(const Knobs& knobs);
/// The engine with the least expected time to first token.
std::unique_ptr<RoutingPolicy> makeLeastExpectedTime(const Knobs& knobs);

}  // namespace fernmoor
