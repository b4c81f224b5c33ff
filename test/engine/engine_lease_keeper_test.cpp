/// @file
/// Tests of src/engine/engine_lease.h and src/engine/engine_lease_keeper.h.
#include "engine/engine_lease_keeper.h"

#include <doctest/doctest.h>

#include "sim/fake_platform.h"
#include "sim/virtual_clock.h"
#include "standin/engine_model.h"

namespace fernmoor {

namespace {

const EngineId kEngine("engine-1");

struct Fixture {
  sim::VirtualClock clock;
  sim::FakePlatform platform{clock};
  Knobs knobs;
  EngineLeaseKeeper first{platform, NodeLife{NodeId(1), Incarnation(1)}, clock, knobs};
  EngineLeaseKeeper second{platform, NodeLife{NodeId(2), Incarnation(1)}, clock, knobs};

  void advance(Duration duration) { clock.advanceTo(clock.now() + duration); }
  FencingToken tokenOf(Result<FencingToken> token) {
    REQUIRE(isOk(token));
    return valueOf(token);
  }
};

bool isConflict(const Result<FencingToken>& token) {
  return !isOk(token) && errorOf(token).kind == ErrorKind::kConflict;
}

}  // namespace

TEST_CASE("one node holds the lease; the other waits, then acquires it with a higher token") {
  Fixture fixture;
  const FencingToken token = fixture.tokenOf(fixture.first.acquire(kEngine));
  CHECK(fixture.tokenOf(fixture.first.acquire(kEngine)) == token);
  const auto rejected = fixture.second.acquire(kEngine);
  REQUIRE(isConflict(rejected));
  REQUIRE(errorOf(rejected).retryAfter);
  fixture.advance(*errorOf(rejected).retryAfter);
  CHECK(fixture.tokenOf(fixture.second.acquire(kEngine)) > token);
}

TEST_CASE("a lease in use is renewed under a higher token and keeps others out") {
  Fixture fixture;
  FencingToken token = fixture.tokenOf(fixture.first.acquire(kEngine));
  CHECK(isConflict(fixture.second.acquire(kEngine)));
  for (int round = 0; round < 10; ++round) {
    fixture.advance(fixture.knobs.engineLeaseDuration / 2);
    const FencingToken renewed = fixture.tokenOf(fixture.first.acquire(kEngine));
    CHECK(renewed > token);
    token = renewed;
    CHECK(isConflict(fixture.second.acquire(kEngine)));
  }
}

TEST_CASE("a paused holder whose lease expired is rejected by itself and by the engine") {
  Fixture fixture;
  standin::EngineModel engine(standin::EngineOptions{});
  const FencingToken old = fixture.tokenOf(fixture.first.acquire(kEngine));
  fixture.advance(fixture.knobs.engineLeaseDuration + 2 * fixture.knobs.engineLeaseMargin);
  CHECK(isConflict(fixture.first.authorize(kEngine)));
  CHECK(isConflict(fixture.second.acquire(kEngine)));
  fixture.advance(fixture.knobs.engineLeaseDuration + 2 * fixture.knobs.engineLeaseMargin);
  const FencingToken fresh = fixture.tokenOf(fixture.second.acquire(kEngine));
  const Time now = fixture.clock.now();
  const auto order = [&](FencingToken token) {
    return engine.order(token, ModelId("m"), AdapterId(), WeightsVersion(2), EngineRole::kMixed,
                        now);
  };
  CHECK(isOk(order(fresh)));
  CHECK_FALSE(isOk(order(old)));
}

TEST_CASE("an unavailable platform grants no lease; a held one is valid until it expires") {
  Fixture fixture;
  fixture.tokenOf(fixture.first.acquire(kEngine));
  fixture.platform.setDown(true);
  CHECK(isOk(fixture.first.authorize(kEngine)));
  CHECK_FALSE(isOk(fixture.second.acquire(kEngine)));
  fixture.advance(fixture.knobs.engineLeaseDuration);
  CHECK(isConflict(fixture.first.authorize(kEngine)));
}

TEST_CASE(
    "a lost answer is resolved; a write that arrives late does not grant the lease by itself") {
  Fixture fixture;
  fixture.platform.loseAnswers(1);
  CHECK(isOk(fixture.first.acquire(kEngine)));
  fixture.advance(3 * fixture.knobs.engineLeaseDuration);
  fixture.platform.goDownAfterNextChange();
  CHECK_FALSE(isOk(fixture.first.acquire(kEngine)));
  CHECK(isConflict(fixture.first.authorize(kEngine)));
  fixture.platform.setDown(false);
  CHECK(isOk(fixture.first.acquire(kEngine)));
}

TEST_CASE(
    "a restarted node is another holder and waits for the lease of its previous incarnation") {
  Fixture fixture;
  fixture.tokenOf(fixture.first.acquire(kEngine));
  EngineLeaseKeeper restarted(fixture.platform, NodeLife{NodeId(1), Incarnation(2)}, fixture.clock,
                              fixture.knobs);
  CHECK(isConflict(restarted.acquire(kEngine)));
}

TEST_CASE("an unreadable lease is not trusted and blocks others only until it would have expired") {
  Fixture fixture;
  const ObjectChange nonsense{ObjectName(kEngine.value()), {}, std::string("[1]")};
  REQUIRE(isOk(fixture.platform.put(engineLeaseCollection(), nonsense, ChangeId("x"))));
  CHECK(isConflict(fixture.first.acquire(kEngine)));
  fixture.advance(fixture.knobs.engineLeaseDuration + fixture.knobs.engineLeaseMargin);
  CHECK(isOk(fixture.first.acquire(kEngine)));
}

}  // namespace fernmoor
