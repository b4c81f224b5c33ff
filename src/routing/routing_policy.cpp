#include "routing/routing_policy.h"

#include "routing/policies.h"

namespace fernmoor {

namespace {

using PolicyFactory = std::unique_ptr<RoutingPolicy> (*)(const Knobs&);

struct RegisteredPolicy {
  const char* name;
  PolicyFactory make;
};

constexpr RegisteredPolicy kPolicies[] = {
    {"round_robin", makeRoundRobin},
    {"least_loaded", makeLeastLoaded},
    {"power_of_two_choices", makePowerOfTwoChoices},
    {"prefix_rendezvous", makePrefixRendezvous},
    {"bounded_prefix_rendezvous", makeBoundedPrefixRendezvous},
    {"two_thinning", makeTwoThinning},
    {"least_expected_time", makeLeastExpectedTime},
};

}  // namespace

Result<std::unique_ptr<RoutingPolicy>> makeRoutingPolicy(const std::string& name,
                                                         const Knobs& knobs) {
  std::string known;
  for (const RegisteredPolicy& policy : kPolicies) {
    if (name == policy.name) {
      return policy.make(knobs);
    }
    known += known.empty() ? policy.name : std::string(", ") + policy.name;
  }
  return Error{ErrorKind::kInvalidRequest,
               "there is no routing policy named \"" + name + "\"; choose one of " + known + ".",
               RunState::kNotRun, std::nullopt};
}

std::vector<std::string> routingPolicyNames() {
  std::vector<std::string> names;
  for (const RegisteredPolicy& policy : kPolicies) {
    names.emplace_back(policy.name);
  }
  return names;
}

}  // namespace fernmoor
