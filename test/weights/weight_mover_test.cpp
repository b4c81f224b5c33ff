/// @file
/// Tests of src/weights on virtual time: engines are moved within the bound and by one leader
/// at a time, also if the leader fails during the moves, the store fails or orders are not
/// answered.
#include "weights/weight_mover.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "test/weights/weight_world.h"

namespace fernmoor::weights {

namespace {

using test::ReceivedOrder;
using test::WeightWorld;

/// Checks that fencing tokens never decrease at an engine, and that orders of two leaders to one
/// engine are at least `lease` apart.
void checkOrders(const std::vector<ReceivedOrder>& orders, Duration lease) {
  for (size_t later = 0; later < orders.size(); ++later) {
    for (size_t earlier = 0; earlier < later; ++earlier) {
      if (orders[earlier].engine != orders[later].engine) {
        continue;
      }
      CHECK(orders[later].fence >= orders[earlier].fence);
      if (orders[earlier].holder != orders[later].holder) {
        CHECK(orders[later].at - orders[earlier].at >= lease);
        CHECK(orders[later].fence != orders[earlier].fence);
      }
    }
  }
}

constexpr Duration kLease{3000000};

}  // namespace

TEST_CASE("all engines hold a new version within its bound, moved by one node") {
  WeightWorld world(7, 12);
  world.setDesiredVersion(2);
  world.run(std::chrono::milliseconds(7900));
  CHECK(world.enginesAt(2) == 12);
  CHECK(world.engines.receivedOrders.size() == 12);
  for (const ReceivedOrder& order : world.engines.receivedOrders) {
    CHECK(order.holder == world.engines.receivedOrders.front().holder);
  }
  checkOrders(world.engines.receivedOrders, kLease);
}

TEST_CASE("of many engines only those are named in the ledger that can be ordered in time") {
  constexpr size_t kEngines = 1800;
  constexpr Duration kCallTime{2500};
  WeightWorld world(1, kEngines);
  world.engines.onReport = [&] { world.clock.advance(kCallTime); };
  world.engines.onOrder = [&] { world.clock.advance(kCallTime); };
  world.setDesiredVersion(2);
  while (world.engines.receivedOrders.empty()) {
    world.run(std::chrono::milliseconds(20));
  }
  const Time began = world.clock.now();
  world.run(std::chrono::seconds(3));
  const size_t named = world.store.ledger.moves.size();
  CHECK(named <= world.engines.receivedOrders.size());
  while (world.enginesAt(2) < kEngines && world.clock.now() - began < std::chrono::minutes(1)) {
    world.run(std::chrono::milliseconds(100));
  }
  const double perSecond = static_cast<double>(kEngines) / toSeconds(world.clock.now() - began);
  MESSAGE("engines moved in a second: ", perSecond);
  CHECK(world.enginesAt(2) == kEngines);
  CHECK(perSecond > 130);
}

TEST_CASE("engines that do not answer do not keep the others from being moved") {
  WeightWorld world(3, 24);
  for (int index = 0; index < 8; ++index) {
    world.engines.silent.insert("e" + std::to_string(index));
  }
  world.engines.onSilence = [&] { world.clock.advance(std::chrono::milliseconds(250)); };
  world.setDesiredVersion(2);
  world.run(std::chrono::milliseconds(12000));
  CHECK(world.enginesAt(2) == 16);
}

TEST_CASE("an engine that restarts under its id is moved again") {
  WeightWorld world(3, 6);
  world.setDesiredVersion(2);
  SUBCASE("after it was moved") {
    world.run(std::chrono::milliseconds(7900));
    REQUIRE(world.enginesAt(2) == 6);
    world.restartEngine("e0", 5000);
    CHECK(world.enginesAt(2) == 5);
    world.run(std::chrono::milliseconds(1500));
  }
  SUBCASE("while it was moved") {
    while (world.engines.receivedOrders.empty()) {
      world.run(std::chrono::milliseconds(20));
    }
    world.restartEngine(world.engines.receivedOrders.front().engine, 5000);
    world.run(std::chrono::milliseconds(3500));
  }
  CHECK(world.enginesAt(2) == 6);
}

TEST_CASE("versions in quick succession are skipped by engines that were not moved yet") {
  WeightWorld world(3, 12);
  for (uint64_t version = 2; version <= 5; ++version) {
    world.setDesiredVersion(version);
    world.run(std::chrono::milliseconds(3200));
  }
  world.run(std::chrono::seconds(5));
  CHECK(world.enginesAt(5) == 12);
  CHECK(world.engines.receivedOrders.size() <= 36);  // 48 without skipping.
  checkOrders(world.engines.receivedOrders, kLease);
}

TEST_CASE(
    "after the leader fails another node leads, and at first orders no engine of recent moves") {
  for (int64_t failsAfter = 100; failsAfter <= 7000; failsAfter += 300) {
    CAPTURE(failsAfter);
    WeightWorld world(7, 12);
    world.setDesiredVersion(2);
    world.run(std::chrono::milliseconds(failsAfter));
    if (world.leader() != nullptr) {
      world.leader()->isAlive = false;
    }
    world.run(std::chrono::milliseconds(12000));
    CHECK(world.enginesAt(2) == 12);
    checkOrders(world.engines.receivedOrders, kLease);
  }
}

TEST_CASE("a node that stops hands over its leadership, and the next one continues at once") {
  WeightWorld world(7, 12);
  world.setDesiredVersion(2);
  world.run(std::chrono::milliseconds(3000));
  test::TestNode* first = world.leader();
  REQUIRE(first != nullptr);
  const uint64_t revision = world.store.ledger.revision;
  first->mover.handOverLeadership();
  first->isAlive = false;
  world.run(std::chrono::milliseconds(700));
  CHECK(world.store.ledger.revision > revision + 1);
  CHECK(world.leader() != first);
  world.run(std::chrono::seconds(6));
  CHECK(world.enginesAt(2) == 12);
  checkOrders(world.engines.receivedOrders, kLease);
}

TEST_CASE("a leader that no longer follows the ledger remains the leader") {
  WeightWorld world(3, 12);
  world.setDesiredVersion(2);
  world.run(std::chrono::milliseconds(3000));
  test::TestNode* first = world.leader();
  REQUIRE(first != nullptr);
  first->place = TakeoverPosition{false, 0};
  const size_t ordersBefore = world.engines.receivedOrders.size();
  world.run(std::chrono::milliseconds(4900));
  CHECK(world.engines.receivedOrders.size() > ordersBefore);
  CHECK(world.leader() == first);
  CHECK(world.enginesAt(2) == 12);
}

TEST_CASE("if no node follows the ledger, the first live node in order moves the engines") {
  WeightWorld world(4, 12);
  for (size_t rank = 1; rank <= 4; ++rank) {
    world.nodes[rank - 1]->place = TakeoverPosition{false, rank};
  }
  SUBCASE("without an earlier leader") {
    world.setDesiredVersion(2);
    world.run(std::chrono::milliseconds(7900));
    CHECK(world.enginesAt(2) == 12);
    CHECK(world.leader() == world.nodes[0].get());
  }
  SUBCASE("after the first one fails during the moves") {
    world.setDesiredVersion(2);
    world.run(std::chrono::milliseconds(4500));
    REQUIRE(world.leader() == world.nodes[0].get());
    world.nodes[0]->isAlive = false;
    world.run(std::chrono::milliseconds(9000));
    CHECK(world.enginesAt(2) == 12);
    CHECK(world.leader() == world.nodes[1].get());
  }
  checkOrders(world.engines.receivedOrders, kLease);
}

TEST_CASE("a node that does not follow the ledger reads it before it takes over") {
  WeightWorld world(2, 60);
  world.nodes[1]->place = TakeoverPosition{false, 1};
  world.engines.loadTime = std::chrono::milliseconds(1500);  // Always late, but answering.
  world.setDesiredVersion(2);
  world.run(std::chrono::seconds(12));
  CHECK(world.enginesAt(2) == 60);
  CHECK(world.store.reads > 0);
  CHECK(world.store.reads < 6);
  for (const ReceivedOrder& order : world.engines.receivedOrders) {
    CHECK(order.holder == "n0");
  }
}

TEST_CASE("a leader that was paused gives no order on an old intent while a successor leads") {
  WeightWorld world(3, 12);
  world.setDesiredVersion(2);
  world.run(std::chrono::milliseconds(3000));
  test::TestNode* first = world.leader();
  REQUIRE(first != nullptr);
  first->isAlive = false;
  world.run(std::chrono::milliseconds(3000));
  REQUIRE(world.leader() != first);
  first->isAlive = true;
  world.run(std::chrono::milliseconds(6000));
  CHECK(world.enginesAt(2) == 12);
  checkOrders(world.engines.receivedOrders, kLease);
}

TEST_CASE("a node that loses the lead to another while it requests reports gives no order") {
  WeightWorld world(2, 4);
  world.setDesiredVersion(2);
  test::TestNode& first = *world.nodes[0];
  test::TestNode& second = *world.nodes[1];
  bool isOvertaken = false;
  world.engines.onReport = [&] {
    if (isOvertaken || world.clock.now() - Time(std::chrono::seconds(1000)) < kLease) {
      return;
    }
    isOvertaken = true;  // The other node gets its reports quickly.
    second.mover.step();
    first.view.take(world.store.ledger, world.clock.now());
  };
  SUBCASE("without an earlier leader of the ledger") {
    world.clock.advance(std::chrono::seconds(6));
    first.mover.step();
    REQUIRE(isOvertaken);
    REQUIRE_FALSE(world.engines.receivedOrders.empty());
    for (const ReceivedOrder& order : world.engines.receivedOrders) {
      CHECK(order.holder == "n1");
    }
  }
  SUBCASE("and orders remain a lease apart when both nodes continue") {
    second.isAlive = false;
    world.run(std::chrono::seconds(6));
    second.isAlive = true;
    world.run(std::chrono::seconds(9));
    CHECK(world.enginesAt(2) == 4);
    checkOrders(world.engines.receivedOrders, kLease);
  }
}

TEST_CASE("a successor waits until no order of its predecessor can arrive") {
  WeightWorld world(2, 2);
  world.engines.delayedLeader = "n0";
  world.engines.orderDelay = std::chrono::milliseconds(850);  // Longest delivery time of an order.
  world.setDesiredVersion(2);
  world.nodes[1]->isAlive = false;
  while (world.engines.receivedOrders.empty()) {
    world.run(std::chrono::milliseconds(20));
  }
  world.nodes[0]->isAlive = false;
  world.nodes[1]->isAlive = true;
  world.run(std::chrono::seconds(9));
  CHECK(world.enginesAt(2) == 2);
  CHECK(world.engines.receivedOrders.size() == 4);
  checkOrders(world.engines.receivedOrders, kLease);
}

TEST_CASE("no order is given while the store is unavailable, and moves continue afterwards") {
  WeightWorld world(3, 6);
  world.setDesiredVersion(2);
  world.store.isDown = true;
  world.run(std::chrono::seconds(6));
  CHECK(world.engines.receivedOrders.empty());
  world.store.isDown = false;
  world.run(std::chrono::seconds(4));
  CHECK(world.enginesAt(2) == 6);
}

TEST_CASE("an intent whose answer was lost is read back before orders are given on it") {
  WeightWorld world(3, 6);
  world.setDesiredVersion(2);
  world.store.losesAnswers = true;
  world.run(std::chrono::seconds(9));
  CHECK(world.enginesAt(2) == 6);
  checkOrders(world.engines.receivedOrders, kLease);
}

TEST_CASE("an order whose answer is lost is not repeated at an engine that accepted it") {
  WeightWorld world(1, 4);
  world.setDesiredVersion(2);
  world.engines.answersLost = true;
  world.run(std::chrono::seconds(10));
  CHECK(world.enginesAt(2) == 4);
  for (const auto& entry : world.engines.engines) {
    CHECK(entry.second.orders == 1);
  }
}

TEST_CASE("an engine that does not answer does not delay the others") {
  WeightWorld world(1, 12);
  world.engines.silent.insert("e0");
  world.setDesiredVersion(2);
  world.run(std::chrono::seconds(8));
  CHECK(world.enginesAt(2) == 11);
}

TEST_CASE("all moves within the last lease stay in the ledger, however many") {
  WeightWorld world(2, 1500);  // 250 at once, so that well over 256 matter at a time.
  world.setDesiredVersion(2);
  world.run(std::chrono::milliseconds(4200));
  size_t recent = 0;
  for (const ReceivedOrder& order : world.engines.receivedOrders) {
    if (world.clock.now() - order.at > kLease) {
      continue;
    }
    ++recent;
    const std::vector<LedgerMove>& moves = world.store.ledger.moves;
    CHECK(std::any_of(moves.begin(), moves.end(),
                      [&](const LedgerMove& move) { return move.engine == order.engine; }));
  }
  CHECK(recent > 256);
}

TEST_CASE("obsolete moves are removed from the ledger") {
  WeightWorld world(1, 60);
  world.setDesiredVersion(2);
  world.run(std::chrono::seconds(9));
  world.setDesiredVersion(3);
  world.run(std::chrono::seconds(9));
  CHECK(world.enginesAt(3) == 60);
  CHECK(world.store.ledger.moves.size() <= 60);
}

TEST_CASE(
    "no order is given on a restored ledger while orders from before the restore may arrive") {
  WeightWorld world(3, 12);
  world.setDesiredVersion(2);
  world.run(std::chrono::milliseconds(300));
  const Ledger oldLedger = world.store.ledger;
  world.run(std::chrono::seconds(2));
  REQUIRE(world.engines.receivedOrders.size() >= 4);
  const uint64_t highestFence = world.engines.receivedOrders.back().fence;
  const size_t before = world.engines.receivedOrders.size();
  const Time restoredAt = world.clock.now();
  world.store.restoreFrom(oldLedger, restoredAt);
  world.setDesiredVersion(3);
  SUBCASE("if the leader stops after the restore") {
    for (const auto& node : world.nodes) {
      if (node->mover.isLeader()) {
        node->mover.handOverLeadership();
        node->isAlive = false;
      }
    }
    CHECK(world.store.ledger.revision == storeRevision(1, countOf(oldLedger.revision)));
  }
  SUBCASE("if the leader continues") {
    CHECK(world.store.ledger.holder == oldLedger.holder);
  }
  world.run(std::chrono::seconds(16));
  REQUIRE(world.engines.receivedOrders.size() > before);
  for (size_t index = before; index < world.engines.receivedOrders.size(); ++index) {
    const ReceivedOrder& order = world.engines.receivedOrders[index];
    CHECK(order.at >= restoredAt + std::chrono::seconds(4));
    CHECK(order.fence > highestFence);
  }
  for (const auto& engine : world.engines.engines) {
    CHECK(world.engines.versionOf(engine.first) == 3);
  }
}

}  // namespace fernmoor::weights
