/// @file
/// Tests of the routing policies.
#include "routing/routing_policy.h"

#include <doctest/doctest.h>

#include <set>

namespace fernmoor {

namespace {

constexpr Time kNow{Duration(1000000)};

std::vector<EngineCandidate> candidatesOf(size_t count) {
  std::vector<EngineCandidate> candidates(count);
  for (size_t index = 0; index < count; ++index) {
    EngineState& engine = candidates[index].engine;
    engine.id = EngineId("engine-" + std::to_string(index));
    engine.model = ModelId("m");
    engine.load.maxStreams = 32;
    engine.load.prefillTokensPerSecond = 10000;
    engine.load.tokenInterval = Duration(25000);
    engine.load.measuredAt = kNow;
  }
  return candidates;
}

BlockChain chainOf(uint64_t seed, size_t blocks = 100) {
  BlockChain chain;
  Random random(seed);
  for (size_t block = 0; block < blocks; ++block) {
    chain.hashes.push_back(random.next());
  }
  chain.tokenCount = static_cast<int64_t>(blocks) * kTokensPerBlock;
  return chain;
}

std::unique_ptr<RoutingPolicy> policyOf(const std::string& name, const Knobs& knobs = {}) {
  return valueOf(makeRoutingPolicy(name, knobs));
}

RoutingRequest requestOf(const BlockChain& chain) {
  RoutingRequest request;
  request.chain = &chain;
  return request;
}

}  // namespace

TEST_CASE("every registered policy chooses a candidate and gives a reason") {
  const BlockChain chain = chainOf(1);
  const BlockChain empty;
  for (const std::string& name : routingPolicyNames()) {
    CAPTURE(name);
    auto policy = policyOf(name);
    CHECK(policy->name() == name);
    Random random(7);
    for (const size_t count : {1U, 2U, 12U}) {
      const auto candidates = candidatesOf(count);
      const RoutingChoice choice = policy->choose(requestOf(chain), candidates, kNow, random);
      CHECK(choice.candidate < count);
      CHECK_FALSE(choice.reason.empty());
      CHECK(policy->choose(requestOf(empty), candidates, kNow, random).candidate < count);
    }
  }
}

TEST_CASE("an unknown policy is rejected with the list of known names") {
  const auto result = makeRoutingPolicy("fastest", Knobs{});
  REQUIRE_FALSE(isOk(result));
  CHECK(errorOf(result).message.find("least_expected_time") != std::string::npos);
}

TEST_CASE("round robin chooses each engine once per cycle") {
  auto policy = policyOf("round_robin");
  Random random(1);
  const BlockChain chain = chainOf(1);
  std::set<size_t> seen;
  for (int turn = 0; turn < 5; ++turn) {
    seen.insert(policy->choose(requestOf(chain), candidatesOf(5), kNow, random).candidate);
  }
  CHECK(seen.size() == 5);
}

TEST_CASE("load-based policies avoid the loaded engine") {
  const BlockChain chain = chainOf(1);
  Random random(3);
  auto candidates = candidatesOf(2);
  candidates[0].engine.load.runningStreams = 20;
  CHECK(policyOf("least_loaded")->choose(requestOf(chain), candidates, kNow, random).candidate ==
        1);
  CHECK(policyOf("power_of_two_choices")
            ->choose(requestOf(chain), candidates, kNow, random)
            .candidate == 1);
  candidates[0].engine.load.runningStreams = 0;
  candidates[1].placedPrefillTokens = 5000;
  CHECK(policyOf("least_loaded")->choose(requestOf(chain), candidates, kNow, random).candidate ==
        0);
}

TEST_CASE("a prefix has one home, and removing another engine does not change it") {
  const BlockChain chain = chainOf(5);
  Random random(3);
  auto policy = policyOf("prefix_rendezvous");
  auto candidates = candidatesOf(12);
  const EngineId home =
      candidates[policy->choose(requestOf(chain), candidates, kNow, random).candidate].engine.id;
  const size_t other = candidates[0].engine.id == home ? 1 : 0;
  candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(other));
  const size_t again = policy->choose(requestOf(chain), candidates, kNow, random).candidate;
  CHECK(candidates[again].engine.id == home);
}

TEST_CASE("bounded rendezvous skips a home that has too many requests") {
  const BlockChain chain = chainOf(5);
  Random random(3);
  auto policy = policyOf("bounded_prefix_rendezvous");
  auto candidates = candidatesOf(4);
  const size_t home = policy->choose(requestOf(chain), candidates, kNow, random).candidate;
  candidates[home].engine.load.runningStreams = 10;
  CHECK(policy->choose(requestOf(chain), candidates, kNow, random).candidate != home);
}

TEST_CASE("two-thinning rejects the home only above the threshold") {
  const BlockChain chain = chainOf(5);
  Random random(3);
  auto policy = policyOf("two_thinning");
  auto candidates = candidatesOf(6);
  const size_t home = policy->choose(requestOf(chain), candidates, kNow, random).candidate;
  candidates[home].engine.load.runningStreams = 6;
  CHECK(policy->choose(requestOf(chain), candidates, kNow, random).candidate == home);
  candidates[home].engine.load.runningStreams = 64;
  std::set<size_t> drawn;
  for (int turn = 0; turn < 100; ++turn) {
    drawn.insert(policy->choose(requestOf(chain), candidates, kNow, random).candidate);
  }
  CHECK(drawn.size() == 6);  // The rejected home may be drawn as well.
}

TEST_CASE("least expected time weighs the queue against recomputing the prefix") {
  const BlockChain chain = chainOf(5);  // 1,600 tokens: 0.16 s of prefill.
  Random random(3);
  auto policy = policyOf("least_expected_time");
  auto candidates = candidatesOf(2);
  RoutingRequest request = requestOf(chain);
  request.deadlineClass = DeadlineClass::kDeferred;  // The whole queue is served first.
  candidates[0].matchedBlocks = 90;
  candidates[0].engine.load.queuedPrefillTokens = 1000;
  CHECK(policy->choose(request, candidates, kNow, random).candidate == 0);
  candidates[0].engine.load.queuedPrefillTokens = 3000;
  const RoutingChoice choice = policy->choose(request, candidates, kNow, random);
  CHECK(choice.candidate == 1);
  CHECK(choice.expectedSeconds == doctest::Approx(0.16));
  RoutingRequest audit = request;
  audit.recomputationWeight = 4;
  CHECK(policy->choose(audit, candidates, kNow, random).candidate == 0);
}

TEST_CASE(
    "least expected time spreads streams and counts only part of the queue for interactive work") {
  const BlockChain chain = chainOf(5);
  Random random(3);
  auto policy = policyOf("least_expected_time");
  auto candidates = candidatesOf(2);
  candidates[0].engine.load.runningStreams = 24;
  CHECK(policy->choose(requestOf(chain), candidates, kNow, random).candidate == 1);
  candidates[0].engine.load.runningStreams = 0;
  candidates[0].matchedBlocks = 90;  // Saves 0.144 s.
  candidates[0].engine.load.queuedPrefillTokens = 2000;
  CHECK(policy->choose(requestOf(chain), candidates, kNow, random).candidate == 0);
  RoutingRequest deferred = requestOf(chain);
  deferred.deadlineClass = DeadlineClass::kDeferred;
  CHECK(policy->choose(deferred, candidates, kNow, random).candidate == 1);
}

TEST_CASE("least expected time sends a new prefix to one engine and nothing to a full batch") {
  const BlockChain chain = chainOf(9);
  Random random(3);
  auto policy = policyOf("least_expected_time");
  auto candidates = candidatesOf(12);
  const size_t home = policy->choose(requestOf(chain), candidates, kNow, random).candidate;
  CHECK(policy->choose(requestOf(chain), candidates, kNow, random).candidate == home);
  candidates[home].engine.load.runningStreams = 40;
  CHECK(policy->choose(requestOf(chain), candidates, kNow, random).candidate != home);
}

}  // namespace fernmoor
