/// @file
/// Tests of src/gateway/backend_choice.h with engines that state limits.
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>

#include "gateway/backend_choice.h"

namespace fernmoor::gateway {

namespace {

constexpr Duration kNextPermit{700000};

std::vector<BackendView> engines(size_t count) {
  std::vector<BackendView> made(count);
  for (size_t index = 0; index < count; ++index) {
    BackendListing listing;
    listing.id = "e" + std::to_string(index);
    made[index].incarnation = incarnationHash(listing);
    made[index].listing = std::make_shared<BackendListing>(listing);
  }
  return made;
}

/// Grants the permits set by the test, and remembers reported waits as a node does.
class LimitedLoads : public EngineLoads {
 public:
  std::optional<LoadAnswer> reserve(uint64_t engine, const EngineDemand& demand, const EngineRoom&,
                                    uint64_t) override {
    ++questions;
    if (silent.count(engine) > 0) {
      return std::nullopt;
    }
    LoadAnswer answer;
    answer.tokensPerSecond = 40000;
    answer.ticket = LoadTicket{engine, 1, demand.isCounted, false};
    if (const auto limited = waits.find(engine); limited != waits.end()) {
      answer.permitWait = limited->second;
      answer.lacksPermit = limited->second > demand.longestPermitWait;
      if (answer.lacksPermit) {
        known[engine] = limited->second;
      }
      answer.ticket.hasPermit = !answer.lacksPermit;
    }
    answer.isGranted = !answer.lacksPermit;
    return answer;
  }
  void promptRead(const LoadTicket&) override {}
  void release(const LoadTicket&) override {}
  std::optional<Duration> permitDue(uint64_t engine) const override {
    const auto found = known.find(engine);
    return found == known.end() ? std::nullopt : std::optional(found->second);
  }
  bool mayGoUnasked(uint64_t) override { return unaskedLeft-- > 0; }

  void limit(const BackendView& engine, Duration wait) {
    waits[engine.incarnation] = wait;
    known[engine.incarnation] = Duration(0);
  }

  std::map<uint64_t, Duration> waits;  ///< Time until the next permit of each engine with a limit.
  std::map<uint64_t, Duration> known;  ///< The part of `waits` that this node knows.
  std::set<uint64_t> silent;
  int unaskedLeft = 0;
  int questions = 0;
};

struct Fixture {
  Fixture() {
    row.usesPrefixes = true;
    row.target = std::chrono::seconds(1);
    request.row = &row;
    request.parts = {PromptPart{"common", 2500}, PromptPart{"own", 2900}};
  }
  std::optional<BackendChoice> home() { return chooseHome(request, candidates, context, loads); }
  std::optional<BackendChoice> least() {
    return chooseLeastLoaded(request, candidates, context, loads, random);
  }
  std::optional<BackendChoice> soonest(Duration longestWait) {
    return chooseSoonestPermit(request, candidates, context, loads, longestWait);
  }

  Row row;
  IncomingRequest request;
  std::vector<BackendView> candidates = engines(8);
  ChoiceContext context;
  LimitedLoads loads;
  Random random{1};
};

}  // namespace

TEST_CASE("a home at its limit is skipped, and is chosen while it has permits") {
  Fixture fixture;
  const std::string id = fixture.home()->backend.listing->id;
  for (const BackendView& each : fixture.candidates) {
    if (each.listing->id == id) {
      fixture.loads.limit(each, Duration(0));
      CHECK(fixture.home()->backend.listing->id == id);
      CHECK(fixture.home()->ticket->hasPermit);
      fixture.loads.limit(each, kNextPermit);
    }
  }
  CHECK(fixture.home()->backend.listing->id != id);
  const int before = fixture.loads.questions;
  CHECK(fixture.home()->backend.listing->id != id);
  CHECK(fixture.loads.questions == before + 1);
}

TEST_CASE("requests go to the only engine without a limit while all others are at theirs") {
  Fixture fixture;
  for (size_t index = 1; index < fixture.candidates.size(); ++index) {
    fixture.loads.limit(fixture.candidates[index], kNextPermit);
  }
  for (int request = 0; request < 20; ++request) {
    fixture.request.parts[0].id = std::to_string(request);
    std::optional<BackendChoice> choice = fixture.home();
    choice = choice ? choice : fixture.least();
    REQUIRE(choice);
    CHECK(choice->backend.listing->id == "e0");
  }
  CHECK_FALSE(soonestTaker(fixture.candidates, fixture.loads, fixture.context.now).has_value());
}

TEST_CASE(
    "a request waits for the earliest permit within its longest wait if all are at their limits") {
  Fixture fixture;
  for (size_t index = 0; index < fixture.candidates.size(); ++index) {
    fixture.loads.limit(fixture.candidates[index],
                        std::chrono::milliseconds(100 * (fixture.candidates.size() - index)));
    fixture.loads.known[fixture.candidates[index].incarnation] =
        fixture.loads.waits[fixture.candidates[index].incarnation];
  }
  CHECK_FALSE(fixture.home().has_value());
  CHECK_FALSE(fixture.least().has_value());
  const std::optional<BackendChoice> choice = fixture.soonest(std::chrono::milliseconds(150));
  REQUIRE(choice);
  CHECK(choice->backend.listing->id == "e7");
  CHECK((choice->permitWait == std::chrono::milliseconds(100)));
  CHECK(choice->ticket->hasPermit);
  CHECK_FALSE(fixture.soonest(std::chrono::milliseconds(50)).has_value());
  CHECK((soonestTaker(fixture.candidates, fixture.loads, fixture.context.now) ==
         std::chrono::milliseconds(100)));
}

TEST_CASE(
    "engines with a limit use this node's share of it if no node answers and no other is left") {
  Fixture fixture;
  fixture.candidates.resize(2);
  for (const BackendView& each : fixture.candidates) {
    fixture.loads.limit(each, Duration(0));
    fixture.loads.silent.insert(each.incarnation);
  }
  CHECK_FALSE(fixture.home().has_value());
  CHECK_FALSE(fixture.least().has_value());
  CHECK_FALSE(fixture.soonest(Duration(0)).has_value());
  fixture.loads.unaskedLeft = 1;
  SUBCASE("an answer without a permit grants none, however soon the next one is due") {
    fixture.loads.silent.clear();
    for (const BackendView& each : fixture.candidates) {
      fixture.loads.waits[each.incarnation] = Duration(1);
    }
    CHECK_FALSE(fixture.soonest(Duration(0)).has_value());
  }
  SUBCASE("once") {
    CHECK(fixture.soonest(Duration(0)).has_value());
    CHECK_FALSE(fixture.soonest(Duration(0)).has_value());
  }
}

TEST_CASE("resting engines are skipped, leaving ones are used only if no other is left") {
  Fixture fixture;
  fixture.candidates = engines(3);
  fixture.context.now = Time(std::chrono::seconds(10));
  const Time later = fixture.context.now + std::chrono::milliseconds(600);
  fixture.candidates[0].restsUntil = later;
  fixture.candidates[1].isLeaving = true;
  SUBCASE("another engine is available") {
    CHECK(fixture.home()->backend.listing->id == "e2");
    CHECK(fixture.least()->backend.listing->id == "e2");
    CHECK_FALSE(soonestTaker(fixture.candidates, fixture.loads, fixture.context.now).has_value());
  }
  SUBCASE("the only other engine is avoided") {
    fixture.candidates[2].isAvoided = true;
    CHECK(fixture.home()->backend.listing->id == "e2");
    CHECK(fixture.least()->backend.listing->id == "e2");
  }
  SUBCASE("all other engines rest") {
    fixture.candidates[2].restsUntil = later + std::chrono::seconds(1);
    CHECK(fixture.home()->backend.listing->id == "e1");
    CHECK(fixture.least()->backend.listing->id == "e1");
    SUBCASE("the earliest end of a rest is reported") {
      fixture.candidates[1].restsUntil = later;
      CHECK_FALSE(fixture.home().has_value());
      CHECK_FALSE(fixture.least().has_value());
      CHECK_FALSE(fixture.soonest(std::chrono::seconds(1)).has_value());
      CHECK((soonestTaker(fixture.candidates, fixture.loads, fixture.context.now) ==
             std::chrono::milliseconds(600)));
    }
  }
}

}  // namespace fernmoor::gateway
