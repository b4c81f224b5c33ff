/// @file
/// Tests of src/gateway/backend_choice.h.
#include "gateway/backend_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>

#include "common/rendezvous.h"
#include "gateway/serving_versions.h"

namespace fernmoor::gateway {

namespace {

std::vector<BackendView> engines(size_t count) {
  std::vector<BackendView> made(count);
  for (size_t index = 0; index < count; ++index) {
    BackendListing listing;
    listing.id = "e" + std::to_string(index);
    listing.zone = index % 2 == 0 ? "near" : "far";
    made[index].incarnation = incarnationHash(listing);
    made[index].listing = std::make_shared<BackendListing>(listing);
  }
  return made;
}

struct Prompt {
  explicit Prompt(const std::string& subject) {
    row.usesPrefixes = true;
    request.row = &row;
    request.parts = {PromptPart{"common", 2500}, PromptPart{subject, 3800},
                     PromptPart{"own", 2900}};
  }
  Row row;
  IncomingRequest request;
};

/// No load for all nodes is known, so that the choice uses this node's load only.
class SilentLoads : public EngineLoads {
 public:
  std::optional<LoadAnswer> reserve(uint64_t, const EngineDemand&, const EngineRoom&,
                                    uint64_t) override {
    return std::nullopt;
  }
  void promptRead(const LoadTicket&) override {}
  void release(const LoadTicket&) override {}
};

/// Reports the load of all nodes; the test sets the queue of each engine.
class CountingLoads : public EngineLoads {
 public:
  std::optional<LoadAnswer> reserve(uint64_t engine, const EngineDemand& demand, const EngineRoom&,
                                    uint64_t bound) override {
    ++questions;
    LoadAnswer answer;
    answer.tokensPerSecond = 40000;
    answer.pendingTokens = pending[engine];
    answer.readingTokens = reading;
    answer.isStalled = stalled.count(engine) > 0;
    answer.isGranted = answer.pendingTokens < bound && !answer.isStalled && full.count(engine) == 0;
    answer.ticket = LoadTicket{engine, questions};
    pending[engine] += answer.isGranted ? demand.promptTokens : 0;
    return answer;
  }
  void promptRead(const LoadTicket&) override {}
  void release(const LoadTicket&) override {}

  std::map<uint64_t, uint64_t> pending;
  std::set<uint64_t> stalled;  ///< Engines that make no progress.
  std::set<uint64_t> full;     ///< Engines at which no request is counted.
  uint64_t reading = 0;        ///< Tokens of each prompt that are not cached; 0: unknown.
  uint32_t questions = 0;
};

std::string chosen(const IncomingRequest& request, const std::vector<BackendView>& candidates,
                   const std::set<std::string>& tried = {}) {
  Random random(1);
  SilentLoads loads;
  const ChoiceContext context{"near", tried, {}, {}};
  auto choice = chooseHome(request, candidates, context, loads);
  if (!choice) {
    choice = chooseLeastLoaded(request, candidates, context, loads, random);
  }
  return choice ? choice->backend.listing->id : "none";
}

}  // namespace

TEST_CASE(
    "requests on one subject have one home, which other engines coming and going seldom move") {
  const auto before = engines(12);
  auto after = before;
  after.pop_back();
  int moved = 0;
  std::map<std::string, int> homes;
  for (int subject = 0; subject < 240; ++subject) {
    const Prompt prompt(std::to_string(subject));
    const std::string home = chosen(prompt.request, before);
    CHECK(home == chosen(prompt.request, before));
    ++homes[home];
    moved += home != chosen(prompt.request, after) && home != "e11" ? 1 : 0;
  }
  CHECK(moved == 0);
  CHECK(homes.size() == 12);
}

TEST_CASE("requests beyond the share of their home always go to the same next home") {
  const Prompt prompt("subject");
  auto candidates = engines(6);
  const std::string home = chosen(prompt.request, candidates);
  for (BackendView& candidate : candidates) {
    candidate.inFlight = candidate.listing->id == home ? 40 : 2;
  }
  const std::string second = chosen(prompt.request, candidates);
  CHECK(second != home);
  CHECK(second == chosen(prompt.request, candidates));
}

TEST_CASE("a home that still reads long prompts of this node is passed over") {
  const Prompt prompt("subject");
  auto candidates = engines(6);
  const std::string home = chosen(prompt.request, candidates);
  for (BackendView& candidate : candidates) {
    candidate.pendingTokens = candidate.listing->id == home ? 9000 : 0;
  }
  CHECK(chosen(prompt.request, candidates) != home);
  for (BackendView& candidate : candidates) {
    candidate.pendingTokens = 9000;
  }
  CHECK(chosen(prompt.request, candidates) == home);
}

TEST_CASE("a request goes to the engine with the fewest tokens ahead of its own prompt") {
  Prompt prompt("subject");  // 6300 of its 9200 tokens are shared.
  prompt.request.promptTokens = 9200;
  const auto candidates = engines(6);
  const std::string homeId = chosen(prompt.request, candidates);
  const uint64_t home = stableHash(homeId);
  CountingLoads loads;
  const auto choose = [&] {
    return *chooseHome(prompt.request, candidates, ChoiceContext{"near", {}, {}, {}}, loads);
  };

  SUBCASE("to its home while the wait there is no longer than reading its own prompt") {
    loads.pending[home] = 9000;
    CHECK(choose().backend.listing->id == homeId);
    CHECK(loads.questions == 1);
  }
  SUBCASE("to another engine if transferring the shared parts takes less than the wait at home") {
    loads.pending[home] = 20000;
    const BackendChoice choice = choose();
    CHECK(choice.backend.listing->id != homeId);
    CHECK(choice.ticket.has_value());
  }
  SUBCASE("past stalled engines, however many there are in a row") {
    loads.stalled.insert(home);
    const std::string second = choose().backend.listing->id;
    CHECK(second != homeId);
    loads.stalled.insert(stableHash(second));
    CHECK(loads.stalled.count(choose().ticket->engine) == 0);
  }
  SUBCASE("and the expected time to its first event there is returned") {
    loads.pending[home] = 0;
    CHECK((choose().expected->firstEvent == std::chrono::milliseconds(230)));
  }
  SUBCASE("and the cached parts of its prompt are not expected to be read again") {
    loads.reading = 2900;  // Guards against prompts that are refused for reading the engine skips.
    CHECK((choose().expected->firstEvent == Duration(72500)));
  }
  SUBCASE("if the wait is longer at all engines") {
    for (const BackendView& each : candidates) {
      loads.pending[stableHash(each.listing->id)] = 30000;
    }
    SUBCASE("to its home, where it is still counted") {
      const BackendChoice choice = choose();
      CHECK(choice.backend.listing->id == homeId);
      CHECK(choice.ticket.has_value());
      CHECK(loads.pending[home] == 30000 + 9200);
    }
    SUBCASE("to another home once its queue is enough shorter, and counted there") {
      loads.pending[home] = 40000;
      const BackendChoice choice = choose();
      CHECK(choice.backend.listing->id != homeId);
      CHECK(loads.pending[choice.ticket->engine] == 30000 + 9200);
      CHECK(loads.pending[home] == 40000);
    }
  }
}

TEST_CASE("isolated tenants have their own homes and cache scopes") {
  Prompt shared("subject");
  Prompt isolated("subject");
  isolated.request.tenant = Tenant{"sese", true, 0};
  shared.request.tenant = Tenant{"lala", false, 0};
  CHECK(cacheScopeOf(shared.request, 3) != cacheScopeOf(isolated.request, 3));
  CHECK(cacheScopeOf(isolated.request, 3) != cacheScopeOf(isolated.request, 4));
  Prompt other("subject");
  CHECK(cacheScopeOf(shared.request, 3) == cacheScopeOf(other.request, 3));
}

TEST_CASE("avoided engines are used only if there is no other") {
  const Prompt prompt("subject");
  auto candidates = engines(2);
  candidates[0].isAvoided = true;
  CHECK(chosen(prompt.request, candidates) == "e1");
  CHECK(chosen(prompt.request, candidates, {"e1"}) == "e0");
  CHECK(chosen(prompt.request, candidates, {"e0", "e1"}) == "none");
}

TEST_CASE("requests without shared parts go to the least loaded engine, own zone preferred") {
  Row row;
  IncomingRequest request;
  request.row = &row;
  auto candidates = engines(2);
  CHECK(chosen(request, candidates) == "e0");
  candidates[0].inFlight = 5;
  CHECK(chosen(request, candidates) == "e1");
}

namespace {

std::vector<BackendView> holding(const std::vector<uint64_t>& versions) {
  std::vector<BackendView> made;
  for (const uint64_t version : versions) {
    made.emplace_back();
    made.back().weightsVersion = version;
  }
  return made;
}

size_t leftOf(const std::vector<uint64_t>& versions, uint64_t lowest) {
  std::vector<BackendView> candidates = holding(versions);
  leaveOutOldWeights(candidates, lowest);
  return candidates.size();
}

}  // namespace

TEST_CASE("engines with outdated weights are excluded") {
  CHECK(leftOf({1, 2, 3}, 2) == 2);
  CHECK(leftOf({1, 2, 3}, 0) == 3);
  CHECK(leftOf({}, 2) == 0);
}

TEST_CASE("engines with outdated weights are excluded even if all or nearly all have them") {
  CHECK(leftOf({1, 2, 2, 2, 2, 1}, 3) == 0);
  CHECK(leftOf({1, 1, 1, 1, 1, 2}, 2) == 1);
  CHECK(leftOf({1, 1, 1}, 2) == 0);
}

TEST_CASE("an engine with unknown weights is not assumed to be up to date") {
  CHECK(leftOf({0, 2, 3}, 2) == 2);
  CHECK(leftOf({0, 0}, 0) == 2);
}

namespace {

/// Twelve engines of which four serve the rows with short prompts.
struct DividedPool {
  DividedPool() {
    std::vector<uint64_t> incarnations;
    for (const BackendView& each : candidates) {
      incarnations.push_back(each.incarnation);
    }
    side = EngineSide{1, leastWeightOfFirst(1, incarnations, 4), true};
  }

  bool isOnOwnSide(const BackendView& engine) const { return side.contains(engine.incarnation); }
  std::optional<BackendChoice> choose(const Prompt& prompt, EngineLoads& loads) const {
    const ChoiceContext context{"near", {}, EngineRoom{32, 0}, {}, side};
    return chooseHome(prompt.request, candidates, context, loads);
  }

  std::vector<BackendView> candidates = engines(12);
  EngineSide side;
};

}  // namespace

// Guards against requests of one kind at the engines of the other, and against homes that change
// within a side: their cached parts would be lost.
TEST_CASE("requests stay on their side, and homes there are the best ones of the whole order") {
  DividedPool pool;
  SilentLoads loads;
  for (const bool isShort : {true, false}) {
    pool.side.isShort = isShort;
    for (int subject = 0; subject < 50; ++subject) {
      const Prompt prompt(std::to_string(subject));
      const BackendView home = pool.choose(prompt, loads)->backend;
      CHECK(pool.isOnOwnSide(home));
      const std::string undivided = chosen(prompt.request, pool.candidates);
      CHECK((home.listing->id == undivided ||
             !pool.isOnOwnSide(*std::find_if(
                 pool.candidates.begin(), pool.candidates.end(),
                 [&](const BackendView& each) { return each.listing->id == undivided; }))));
    }
  }
}

// Guards against requests that are refused or lost while the other side could serve them, and
// against short queues that push long prompts among the short streams.
TEST_CASE("a side that is dead or full is not insisted upon, a busy one is") {
  DividedPool pool;
  Prompt prompt("subject");
  prompt.request.promptTokens = 9200;
  prompt.row.target = std::chrono::milliseconds(1500);
  const auto setOwn = [&](auto change) {
    for (BackendView& each : pool.candidates) {
      if (pool.isOnOwnSide(each)) {
        change(each);
      }
    }
  };
  SilentLoads unknown;
  CountingLoads known;

  SUBCASE("avoided engines") {
    setOwn([](BackendView& each) { each.isAvoided = true; });
    CHECK_FALSE(pool.isOnOwnSide(pool.choose(prompt, unknown)->backend));
  }
  SUBCASE("stalled engines") {
    setOwn([&](const BackendView& each) { known.stalled.insert(each.incarnation); });
    CHECK_FALSE(pool.isOnOwnSide(pool.choose(prompt, known)->backend));
  }
  SUBCASE("engines whose slots this node's requests fill") {
    setOwn([](BackendView& each) { each.inFlight = 32; });
    CHECK_FALSE(pool.isOnOwnSide(pool.choose(prompt, unknown)->backend));
  }
  SUBCASE("engines whose owners count no further request") {
    setOwn([&](const BackendView& each) { known.full.insert(each.incarnation); });
    const auto choice = pool.choose(prompt, known);
    CHECK_FALSE(pool.isOnOwnSide(choice->backend));
    CHECK(choice->ticket);
  }
  SUBCASE("engines with a queue for which the request would be late") {  // 24,000 tokens: 600 ms.
    setOwn([&](const BackendView& each) { known.pending[each.incarnation] = 25000; });
    const auto choice = pool.choose(prompt, known);
    CHECK_FALSE(pool.isOnOwnSide(choice->backend));
    CHECK(choice->ticket);
    CHECK(known.questions <= 5);
  }
  SUBCASE("engines with a queue for which the request is still in time") {
    setOwn([&](const BackendView& each) { known.pending[each.incarnation] = 20000; });
    const auto choice = pool.choose(prompt, known);
    CHECK(pool.isOnOwnSide(choice->backend));
    CHECK(choice->ticket);
  }
  SUBCASE("unless the other side is fuller") {
    for (const BackendView& each : pool.candidates) {
      known.pending[each.incarnation] = pool.isOnOwnSide(each) ? 25000 : 50000;
    }
    CHECK(pool.isOnOwnSide(pool.choose(prompt, known)->backend));
  }
}

namespace {

/// Counts the requests of all nodes at each engine, as the owners do.
class PresentLoads : public EngineLoads {
 public:
  std::optional<LoadAnswer> reserve(uint64_t engine, const EngineDemand&, const EngineRoom&,
                                    uint64_t) override {
    ++questions;
    if (silent.count(engine) > 0) {
      return std::nullopt;
    }
    LoadAnswer answer;
    answer.isGranted = true;
    answer.tokensPerSecond = 1;
    if (tellsPresent) {
      answer.presentRequests = present[engine];
    }
    ++present[engine];
    answer.ticket = LoadTicket{engine, questions, true, false, false, {}};
    return answer;
  }
  void promptRead(const LoadTicket&) override {}
  void release(const LoadTicket& ticket) override { --present[ticket.engine]; }
  size_t nodeCount() const override { return nodes; }

  size_t nodes = 73;
  bool tellsPresent = true;
  std::set<uint64_t> silent;  ///< Engines whose owners do not answer.
  std::map<uint64_t, uint32_t> present;
  uint32_t questions = 0;
};

/// Calls to three application engines of six slots each.
struct ApplicationPool {
  ApplicationPool() {
    request.row = &row;
    listSlots(6);
  }
  void listSlots(int slots) {
    for (BackendView& each : candidates) {
      BackendListing listing = *each.listing;
      listing.slots = slots;
      each.listing = std::make_shared<BackendListing>(listing);
    }
  }
  std::optional<BackendChoice> choose() {
    const ChoiceContext context{"near", {}, {}, {}, std::nullopt, servesModels};
    return chooseLeastLoaded(request, candidates, context, loads, random);
  }

  Row row;
  IncomingRequest request;
  std::vector<BackendView> candidates = engines(3);
  PresentLoads loads;
  Random random{1};
  bool servesModels = false;
};

}  // namespace

// Guards against engines that reject calls because every node counts only its own.
TEST_CASE("with fewer slots than nodes, calls go to the emptier of two random engines") {
  ApplicationPool pool;
  std::map<std::string, int> calls;
  for (int call = 0; call < 15; ++call) {  // Fifteen nodes, each with one call and 18 slots in all.
    const auto choice = pool.choose();
    REQUIRE(choice);
    CHECK(choice->ticket);
    ++calls[choice->backend.listing->id];
  }
  for (const BackendView& each : pool.candidates) {
    CHECK(pool.loads.present[each.incarnation] ==
          static_cast<uint32_t>(calls[each.listing->id]));  // The other one was released.
    CHECK(calls[each.listing->id] <= 6);
  }
  CHECK(pool.loads.questions == 30);
}

// Guards against questions where they are not called for, and against calls that fail or stay
// counted if an owner does not answer.
TEST_CASE("this node's own count decides where the owners' counts are not needed or not known") {
  ApplicationPool pool;
  SUBCASE("the pool has as many slots as there are nodes") {
    pool.loads.nodes = 18;
  }
  SUBCASE("the engines list no slots") {
    pool.listSlots(0);
  }
  SUBCASE("the engines serve models") {
    pool.servesModels = true;
  }
  SUBCASE("the owners do not answer") {
    for (const BackendView& each : pool.candidates) {
      pool.loads.silent.insert(each.incarnation);
    }
  }
  SUBCASE("one owner does not answer") {
    pool.candidates.pop_back();
    pool.loads.silent.insert(pool.candidates[1].incarnation);
  }
  SUBCASE("the owners run the previous release") {
    pool.loads.tellsPresent = false;
  }
  pool.candidates[0].inFlight = 5;
  const auto choice = pool.choose();
  REQUIRE(choice);
  CHECK(choice->backend.listing->id != "e0");
  CHECK_FALSE(choice->ticket);
  CHECK(pool.loads.questions <= 2);
  for (const auto& [engine, present] : pool.loads.present) {
    CHECK(present == 0);
  }
}

}  // namespace fernmoor::gateway
