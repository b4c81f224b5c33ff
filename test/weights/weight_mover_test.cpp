/// @file
/// Tests of src/weights on virtual time: engines are moved in time and by one leader at a time,
/// also if the leader dies during the moves, the store fails or orders are not answered.
#include "weights/weight_mover.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "test/weights/weight_world.h"

namespace fernmoor::weights {

namespace {

using test::SeenOrder;
using test::WeightWorld;

/// Checks that fencing tokens never decrease at an engine, and that orders of two leaders to one
/// engine are at least `turn` apart.
void checkOrders(const std::vector<SeenOrder>& seen, Duration turn) {
  for (size_t later = 0; later < seen.size(); ++later) {
    for (size_t earlier = 0; earlier < later; ++earlier) {
      if (seen[earlier].engine != seen[later].engine) {
        continue;
      }
      CHECK(seen[later].fence >= seen[earlier].fence);
      if (seen[earlier].holder != seen[later].holder) {
        CHECK(seen[later].at - seen[earlier].at >= turn);
        CHECK(seen[later].fence != seen[earlier].fence);
      }
    }
  }
}

constexpr Duration kTurn{3000000};

}  // namespace

TEST_CASE("all engines hold a new version within its bound, moved by one node") {
  WeightWorld world(7, 12);
  world.name(2);
  world.run(std::chrono::milliseconds(7900));
  CHECK(world.enginesAt(2) == 12);
  CHECK(world.engines.seen.size() == 12);
  for (const SeenOrder& order : world.engines.seen) {
    CHECK(order.holder == world.engines.seen.front().holder);
  }
  checkOrders(world.engines.seen, kTurn);
}

TEST_CASE("an engine that starts again under its id is moved again") {
  WeightWorld world(3, 6);
  world.name(2);
  SUBCASE("after it was moved") {
    world.run(std::chrono::milliseconds(7900));
    REQUIRE(world.enginesAt(2) == 6);
    world.startAgain("e0", 5000);
    CHECK(world.enginesAt(2) == 5);
    world.run(std::chrono::milliseconds(1500));
  }
  SUBCASE("while it was moved") {
    while (world.engines.seen.empty()) {
      world.run(std::chrono::milliseconds(20));
    }
    world.startAgain(world.engines.seen.front().engine, 5000);
    world.run(std::chrono::milliseconds(3500));
  }
  CHECK(world.enginesAt(2) == 6);
}

TEST_CASE("versions in quick succession are skipped by engines that were not moved yet") {
  WeightWorld world(3, 12);
  for (uint64_t version = 2; version <= 5; ++version) {
    world.name(version);
    world.run(std::chrono::milliseconds(3200));
  }
  world.run(std::chrono::seconds(5));
  CHECK(world.enginesAt(5) == 12);
  CHECK(world.engines.seen.size() <= 36);  // 48 without skipping.
  checkOrders(world.engines.seen, kTurn);
}

TEST_CASE("another node goes on when the holder dies, and leaves its last engines alone at first") {
  for (int64_t diesAfter = 100; diesAfter <= 7000; diesAfter += 300) {
    CAPTURE(diesAfter);
    WeightWorld world(7, 12);
    world.name(2);
    world.run(std::chrono::milliseconds(diesAfter));
    if (world.holder() != nullptr) {
      world.holder()->isAlive = false;
    }
    world.run(std::chrono::milliseconds(12000));
    CHECK(world.enginesAt(2) == 12);
    checkOrders(world.engines.seen, kTurn);
  }
}

TEST_CASE("a node that stops hands over, so that the next goes on at once") {
  WeightWorld world(7, 12);
  world.name(2);
  world.run(std::chrono::milliseconds(3000));
  test::TestNode* first = world.holder();
  REQUIRE(first != nullptr);
  const uint64_t revision = world.store.ledger.revision;
  first->mover.handOverLeadership();
  first->isAlive = false;
  world.run(std::chrono::milliseconds(700));
  CHECK(world.store.ledger.revision > revision + 1);
  CHECK(world.holder() != first);
  world.run(std::chrono::seconds(6));
  CHECK(world.enginesAt(2) == 12);
  checkOrders(world.engines.seen, kTurn);
}

TEST_CASE("a holder that follows the ledger no longer goes on all the same") {
  WeightWorld world(3, 12);
  world.name(2);
  world.run(std::chrono::milliseconds(3000));
  test::TestNode* first = world.holder();
  REQUIRE(first != nullptr);
  first->place = TakeoverPosition{false, 0};
  const size_t ordersBefore = world.engines.seen.size();
  world.run(std::chrono::milliseconds(4900));
  CHECK(world.engines.seen.size() > ordersBefore);
  CHECK(world.holder() == first);
  CHECK(world.enginesAt(2) == 12);
}

TEST_CASE("where no node follows the ledger the first one in order that lives moves the engines") {
  WeightWorld world(4, 12);
  for (size_t rank = 1; rank <= 4; ++rank) {
    world.nodes[rank - 1]->place = TakeoverPosition{false, rank};
  }
  SUBCASE("where nobody had the turn") {
    world.name(2);
    world.run(std::chrono::milliseconds(7900));
    CHECK(world.enginesAt(2) == 12);
    CHECK(world.holder() == world.nodes[0].get());
  }
  SUBCASE("also where the first of them dies in the middle") {
    world.name(2);
    world.run(std::chrono::milliseconds(4500));
    REQUIRE(world.holder() == world.nodes[0].get());
    world.nodes[0]->isAlive = false;
    world.run(std::chrono::milliseconds(9000));
    CHECK(world.enginesAt(2) == 12);
    CHECK(world.holder() == world.nodes[1].get());
  }
  checkOrders(world.engines.seen, kTurn);
}

TEST_CASE("a node that isn't shown the ledger reads it before it steps in") {
  WeightWorld world(2, 60);
  world.nodes[1]->place = TakeoverPosition{false, 1};
  world.engines.loadTime = std::chrono::milliseconds(1500);  // Always late, but answering.
  world.name(2);
  world.run(std::chrono::seconds(12));
  CHECK(world.enginesAt(2) == 60);
  CHECK(world.store.reads > 0);
  CHECK(world.store.reads < 6);
  for (const SeenOrder& order : world.engines.seen) {
    CHECK(order.holder == "n0");
  }
}

TEST_CASE("a holder that stood still does not order on an old intent, and a successor may hold") {
  WeightWorld world(3, 12);
  world.name(2);
  world.run(std::chrono::milliseconds(3000));
  test::TestNode* first = world.holder();
  REQUIRE(first != nullptr);
  first->isAlive = false;
  world.run(std::chrono::milliseconds(3000));
  REQUIRE(world.holder() != first);
  first->isAlive = true;
  world.run(std::chrono::milliseconds(6000));
  CHECK(world.enginesAt(2) == 12);
  checkOrders(world.engines.seen, kTurn);
}

TEST_CASE("a node that was overtaken while it asked engines for reports gives no order") {
  WeightWorld world(2, 4);
  world.name(2);
  test::TestNode& first = *world.nodes[0];
  test::TestNode& second = *world.nodes[1];
  bool isOvertaken = false;
  world.engines.onReport = [&] {
    if (isOvertaken || world.clock.now() - Time(std::chrono::seconds(1000)) < kTurn) {
      return;
    }
    isOvertaken = true;  // The other node gets its reports quickly.
    second.mover.step();
    first.view.take(world.store.ledger, world.clock.now());
  };
  SUBCASE("where nobody holds the ledger yet") {
    world.clock.advance(std::chrono::seconds(6));
    first.mover.step();
    REQUIRE(isOvertaken);
    REQUIRE_FALSE(world.engines.seen.empty());
    for (const SeenOrder& order : world.engines.seen) {
      CHECK(order.holder == "n1");
    }
  }
  SUBCASE("and the rule holds when both go on") {
    second.isAlive = false;
    world.run(std::chrono::seconds(6));
    second.isAlive = true;
    world.run(std::chrono::seconds(9));
    CHECK(world.enginesAt(2) == 4);
    checkOrders(world.engines.seen, kTurn);
  }
}

TEST_CASE("a successor waits until no order of its predecessor can arrive any more") {
  WeightWorld world(2, 2);
  world.engines.heldUpHolder = "n0";
  world.engines.holdUp = std::chrono::milliseconds(850);  // Longest delivery time of an order.
  world.name(2);
  world.nodes[1]->isAlive = false;
  while (world.engines.seen.empty()) {
    world.run(std::chrono::milliseconds(20));
  }
  world.nodes[0]->isAlive = false;
  world.nodes[1]->isAlive = true;
  world.run(std::chrono::seconds(9));
  CHECK(world.enginesAt(2) == 2);
  CHECK(world.engines.seen.size() == 4);
  checkOrders(world.engines.seen, kTurn);
}

TEST_CASE("no order is given without the ledger, and moves go on when the store is back") {
  WeightWorld world(3, 6);
  world.name(2);
  world.store.isDown = true;
  world.run(std::chrono::seconds(6));
  CHECK(world.engines.seen.empty());
  world.store.isDown = false;
  world.run(std::chrono::seconds(4));
  CHECK(world.enginesAt(2) == 6);
}

TEST_CASE("an intent whose answer was lost is read back before orders are given on it") {
  WeightWorld world(3, 6);
  world.name(2);
  world.store.losesAnswers = true;
  world.run(std::chrono::seconds(9));
  CHECK(world.enginesAt(2) == 6);
  checkOrders(world.engines.seen, kTurn);
}

TEST_CASE("an order without an answer is not given twice to an engine that took it") {
  WeightWorld world(1, 4);
  world.name(2);
  world.engines.answersLost = true;
  world.run(std::chrono::seconds(10));
  CHECK(world.enginesAt(2) == 4);
  for (const auto& entry : world.engines.engines) {
    CHECK(entry.second.orders == 1);
  }
}

TEST_CASE("an engine that does not answer does not hold up the others") {
  WeightWorld world(1, 12);
  world.engines.silent.insert("e0");
  world.name(2);
  world.run(std::chrono::seconds(8));
  CHECK(world.enginesAt(2) == 11);
}

TEST_CASE("every move that another holder must leave alone stays in the ledger, however many") {
  WeightWorld world(2, 1500);  // 250 at once, so that well over 256 matter at a time.
  world.name(2);
  world.run(std::chrono::milliseconds(4200));
  size_t recent = 0;
  for (const SeenOrder& order : world.engines.seen) {
    if (world.clock.now() - order.at > kTurn) {
      continue;
    }
    ++recent;
    const std::vector<LedgerMove>& moves = world.store.ledger.moves;
    CHECK(std::any_of(moves.begin(), moves.end(),
                      [&](const LedgerMove& move) { return move.engine == order.engine; }));
  }
  CHECK(recent > 256);
}

TEST_CASE("moves that no longer matter leave the ledger") {
  WeightWorld world(1, 60);
  world.name(2);
  world.run(std::chrono::seconds(9));
  world.name(3);
  world.run(std::chrono::seconds(9));
  CHECK(world.enginesAt(3) == 60);
  CHECK(world.store.ledger.moves.size() <= 60);
}

TEST_CASE(
    "nobody orders by a ledger that the store brought back, until orders of before are over") {
  WeightWorld world(3, 12);
  world.name(2);
  world.run(std::chrono::milliseconds(300));
  const Ledger copy = world.store.ledger;
  world.run(std::chrono::seconds(2));
  REQUIRE(world.engines.seen.size() >= 4);
  const uint64_t highestFence = world.engines.seen.back().fence;
  const size_t before = world.engines.seen.size();
  const Time wentBack = world.clock.now();
  world.store.goBack(copy, wentBack);
  world.name(3);
  SUBCASE("also where its holder ends then") {
    for (const auto& node : world.nodes) {
      if (node->mover.isLeader()) {
        node->mover.handOverLeadership();
        node->isAlive = false;
      }
    }
    CHECK(world.store.ledger.revision == storeRevision(1, countOf(copy.revision)));
  }
  SUBCASE("where it lives on too") {
    CHECK(world.store.ledger.holder == copy.holder);
  }
  world.run(std::chrono::seconds(16));
  REQUIRE(world.engines.seen.size() > before);
  for (size_t index = before; index < world.engines.seen.size(); ++index) {
    const SeenOrder& order = world.engines.seen[index];
    CHECK(order.at >= wentBack + std::chrono::seconds(4));
    CHECK(order.fence > highestFence);
  }
  for (const auto& engine : world.engines.engines) {
    CHECK(world.engines.versionOf(engine.first) == 3);
  }
}

}  // namespace fernmoor::weights
