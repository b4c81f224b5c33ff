/// @file
/// Tests of the decisions at the owners of engines (src/gateway/pending_work.h) under load, in
/// virtual time: see load_play.h. The figures are those of the deployment `cffrc` in
/// docs/design/HARD-LOAD.md.
#include <doctest/doctest.h>

#include "load_play.h"

namespace fernmoor::gateway {

namespace {

constexpr size_t kEngines = 60;
constexpr double kLongPerSecond = 86.5;
constexpr double kShortPerSecond = 236;

Duration seconds(double count) {
  return fromSeconds(count);
}

}  // namespace

// Guards against observation 1 of HARD-LOAD.md: a burst of long prompts of priority 2 displaced the
// short urgent ones; against engines that preempt because they were sent more than fits, as where
// all slots were in use; and against refusals while engines have room.
TEST_CASE("load: a burst of long prompts while a quarter of the engines is gone") {
  // All engines of the deployment, and so few that they cannot serve everything.
  for (const size_t engines : {kEngines, kEngines / 2}) {
    CAPTURE(engines);
    LoadPlay play(engines,
                  {{longKind(), kLongPerSecond, unequalTenants(), seconds(0), seconds(4)},
                   {longKind(), kLongPerSecond * 2.1, unequalTenants(), seconds(4), seconds(14)},
                   {shortKind(), kShortPerSecond, unequalTenants(), seconds(0), seconds(20)}},
                  7);
    play.run(seconds(4));
    for (size_t engine = 0; engine < engines / 4; ++engine) {
      play.loseEngine(engine * 4);
    }
    play.run(seconds(20));
    play.finish();
    CHECK(play.ofKind(2).part() >= play.ofKind(1).part());
    CHECK(play.mostHeldTokens() <= kEngineRoom.memoryTokens);
    CHECK(play.ofKind(0).refusedInVain + play.ofKind(1).refusedInVain +
              play.ofKind(2).refusedInVain ==
          0);
  }
}

namespace {

/// Twelve engines, small tenants that use a fifth of them, and one that may ask for much more.
LoadPlay playTenants(const PlayedKind& kind, double largePerSecond, double smallPerSecond) {
  std::vector<double> small(kTenants, 1.0 / (kTenants - 1));
  small[0] = 0;
  std::vector<double> large(kTenants, 0.0);
  large[0] = 1;
  LoadPlay play(12, {{kind, smallPerSecond, small}, {kind, largePerSecond, large, seconds(3)}}, 5);
  play.run(seconds(18));
  play.finish();
  CHECK(play.mostHeldTokens() <= kEngineRoom.memoryTokens);
  return play;
}

void checkTenants(const PlayedKind& kind, double largePerSecond, double smallPerSecond) {
  const LoadPlay without = playTenants(kind, 0, smallPerSecond);
  const LoadPlay with = playTenants(kind, largePerSecond, smallPerSecond);
  const LoadPlay alone = playTenants(kind, largePerSecond, 0);
  // What the large tenant has begun keeps its room until it ends, so that a few are refused twice.
  CHECK(with.ofKind(0).part() >= without.ofKind(0).part() - 0.05);
  CHECK(alone.ofKind(1).served >= with.ofKind(1).served);
  CHECK(alone.refusals().share == 0);
}

}  // namespace

// Guards against a tenant that takes the slots of others, and against room that stays unused while
// small tenants are idle.
TEST_CASE("load: a tenant that asks for far too many short prompts beside small ones") {
  checkTenants(shortKind(), 800, 45);  // Twelve engines read 780 a second.
}

// Guards against a tenant that takes the memory of others, also by its retries.
TEST_CASE("load: a tenant that asks for far too many long prompts beside small ones") {
  checkTenants(longKind(), 400, 30);  // Twelve engines read 169 a second if all parts are cached.
}

// Guards against reservations that do not serve the caller who returns to them, and against those
// that overrun an engine's memory.
TEST_CASE("load: refused callers return once, and those with a reservation are served") {
  for (const uint32_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    LoadPlay play(16,
                  {{longKind(), kLongPerSecond * 0.7, unequalTenants()},
                   {shortKind(), kShortPerSecond * 0.7, unequalTenants()}},
                  seed);
    play.run(seconds(15));
    play.finish();
    for (const size_t kind : {0, 1}) {
      const Served& served = play.ofKind(kind);
      CHECK(served.reservedRetries > 0);
      CHECK(served.servedReserved == served.reservedRetries);
    }
    CHECK(play.mostHeldTokens() <= kEngineRoom.memoryTokens);
  }
}

// Guards against reserves, floors and wait limits that refuse requests without need.
TEST_CASE("load: at half of the capacity nothing is refused without need") {
  for (const uint32_t seed : {11, 12, 13}) {
    CAPTURE(seed);
    // At this rate, short prompts have 0.45 of all slots, and a third of the time is for reading.
    // The requests before the sixth second fill the caches.
    const std::vector<double> equal(kTenants, 1.0 / kTenants);
    LoadPlay play(kEngines,
                  {{longKind(), kLongPerSecond / 2, equal, seconds(0), seconds(6)},
                   {shortKind(), kShortPerSecond / 2, equal, seconds(0), seconds(6)},
                   {longKind(), kLongPerSecond * 1.75, equal, seconds(6)},
                   {shortKind(), kShortPerSecond * 1.75, equal, seconds(6)}},
                  seed);
    play.run(seconds(20));
    play.finish();
    for (const size_t kind : {2, 3}) {
      const Served& served = play.ofKind(kind);
      CHECK(served.asked > 2000);
      // The slots of all engines that a request asks may be in use by chance. Its caller returns.
      CHECK(served.refused <= served.asked / 100);
      CHECK(served.refusedInVain == 0);
      CHECK(served.inTime == served.asked);
    }
  }
}

// Guards against counts of a new owner that miss requests, contain them twice, or keep what has
// ended.
TEST_CASE("load: the counts are right after an owner is lost") {
  LoadPlay play(8,
                {{longKind(), kLongPerSecond * 0.2, unequalTenants()},
                 {shortKind(), kShortPerSecond * 0.2, unequalTenants()}},
                3);
  play.run(seconds(5));
  for (size_t engine = 0; engine < play.engineCount(); ++engine) {
    play.loseOwner(engine, seconds(0.5));
    if (engine % 2 == 0) {
      play.run(seconds(5 + 0.1 * static_cast<double>(engine)));
      play.loseOwner(engine, seconds(0.3));  // Its successor is lost, too.
    }
  }
  play.run(seconds(7));
  size_t present = 0;
  for (size_t engine = 0; engine < play.engineCount(); ++engine) {
    play.renew(engine);  // They are reported again, and counted already.
  }
  for (size_t engine = 0; engine < play.engineCount(); ++engine) {
    CHECK(play.owner(engine).countOf(engine + 1, play.now()) == play.engine(engine).present());
    present += play.engine(engine).present();
  }
  CHECK(present > 0);
  play.run(seconds(9));
  play.finish();
  CHECK(play.mostHeldTokens() <= kEngineRoom.memoryTokens);
  for (size_t engine = 0; engine < play.engineCount(); ++engine) {
    CHECK(play.owner(engine).countOf(engine + 1, play.now()) == 0);
    EngineDemand whole;
    whole.promptTokens = kEngineRoom.memoryTokens;
    whole.memoryTokens = kEngineRoom.memoryTokens;
    whole.urgency = 9;
    const LoadAnswer answer = play.owner(engine).reserve(
        engine + 1, PendingRequest{2, 1, whole}, kEngineRoom, UINT32_MAX, play.now() + seconds(5));
    CHECK(answer.isGranted);
    CHECK(answer.pendingTokens == 0);
  }
}

}  // namespace fernmoor::gateway
