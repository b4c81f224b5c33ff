/// @file
/// A simulated store, engines and clock for tests of the moves to new weights.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "backends/backend_set.h"
#include "backends/wanted_weights.h"
#include "common/store_revision.h"
#include "weights/move_ledger.h"
#include "weights/weight_mover.h"

namespace fernmoor::weights::test {

class TestClock : public Clock {
 public:
  Time now() const override { return now_; }
  int64_t wallMicroseconds() const override { return 0; }
  void advance(Duration by) { now_ += by; }

 private:
  Time now_{std::chrono::seconds(1000)};
};

/// A ledger store with injectable faults: unavailability, lost answers, restore from an old copy.
class TestStore : public LedgerStore {
 public:
  Result<Ledger> read() override {
    ++reads;
    if (isDown) {
      return down();
    }
    return ledger;
  }
  Result<LedgerOutcome> write(const Ledger& update) override {
    if (isDown) {
      return down();
    }
    if (update.revision != ledger.revision) {
      return LedgerOutcome(LedgerChanged{ledger});
    }
    ledger = update;
    ledger.revision = ++revision;
    ledger.writtenIn = eraOf(revision);
    if (losesAnswers) {
      return down();
    }
    return LedgerOutcome(LedgerWritten{ledger.revision});
  }

  std::optional<Time> wentBackBy(const Ledger& asked) const override {
    return asked.writtenIn == eraOf(revision) ? std::nullopt : restoredAt;
  }
  /// Simulates a restore from an old copy that contains the given ledger.
  void restoreFrom(const Ledger& copy, Time at) {
    const uint64_t era = eraOf(revision) + 1;
    ledger = copy;
    ledger.revision = storeRevision(era, countOf(copy.revision));
    revision = storeRevision(era, countOf(copy.revision) + 3);
    restoredAt = at;
  }

  Ledger ledger;
  uint64_t revision = 100;
  std::optional<Time> restoredAt;
  bool isDown = false;
  bool losesAnswers = false;
  size_t reads = 0;

 private:
  static Error down() {
    return Error{ErrorKind::kUnavailable, "down", RunState::kUnknown, std::nullopt};
  }
};

/// An order that reached an engine.
struct ReceivedOrder {
  std::string engine;
  std::string holder;
  uint64_t version = 0;
  uint64_t fence = 0;
  Time at;
};

/// Engines that load new weights in a fixed time.
class TestEngines : public EngineOrders {
 public:
  struct Engine {
    uint64_t version = 1;
    uint64_t next = 0;
    uint64_t orders = 0;
    uint64_t fence = 0;
    Time doneAt;
    int64_t startedAt = 0;
  };

  explicit TestEngines(const TestClock& clock) : clock_(clock) {}

  Result<EngineReport> report(const std::string& name, const std::string&) override {
    if (onReport) {
      onReport();
    }
    if (silent.count(name) > 0) {
      if (onSilence) {
        onSilence();
      }
      return Error{ErrorKind::kUnavailable, "silent", RunState::kUnknown, std::nullopt};
    }
    Engine& engine = settle(name);
    return EngineReport{engine.next != 0, engine.orders, engine.version, engine.startedAt};
  }
  OrderAnswer order(const WeightOrder& order) override {
    if (onOrder) {
      onOrder();
    }
    const bool isDelayed = order.holder == delayedLeader;
    const Time at = clock_.now() + (isDelayed ? orderDelay : Duration(0));
    receivedOrders.push_back(
        ReceivedOrder{order.engine, order.holder, order.version, order.fence, at});
    if (isDelayed) {
      return OrderAnswer::kUnknown;
    }
    Engine& engine = settle(order.engine);
    if (order.fence < engine.fence) {
      return OrderAnswer::kRefused;
    }
    engine.fence = order.fence;
    if (engine.next != 0 || order.expectedOrders != engine.orders) {
      return OrderAnswer::kNotNow;
    }
    ++engine.orders;
    engine.next = order.version;
    engine.doneAt = clock_.now() + loadTime;
    return answersLost ? OrderAnswer::kUnknown : OrderAnswer::kTaken;
  }
  uint64_t versionOf(const std::string& name) { return settle(name).version; }

  std::map<std::string, Engine> engines;
  std::set<std::string> silent;
  std::vector<ReceivedOrder> receivedOrders;
  Duration loadTime{630000};
  bool answersLost = false;
  std::function<void()> onReport;   ///< Called while a report is in transit.
  std::function<void()> onOrder;    ///< Called while an order is in transit.
  std::function<void()> onSilence;  ///< Called while a report that gets no answer times out.
  std::string delayedLeader;        ///< Its orders reach engines late and are not executed.
  Duration orderDelay{};

 private:
  Engine& settle(const std::string& name) {
    Engine& engine = engines[name];
    if (engine.next != 0 && clock_.now() >= engine.doneAt) {
      engine.version = engine.next;
      engine.next = 0;
    }
    return engine;
  }

  const TestClock& clock_;
};

/// One node's mover and its state.
struct TestNode {
  TestNode(const std::string& name, const TestClock& clock, TestStore& store, TestEngines& engines,
           uint64_t seed)
      : desired(WeightBounds{}),
        mover(MoverServices{clock, backends, desired, view, store, engines},
              MoverOptions{name, std::chrono::seconds(3), seed}) {}

  BackendSet backends;
  DesiredWeights desired;
  LedgerView view;
  WeightMover mover;
  bool isAlive = true;
  TakeoverPosition place;
};

/// Several nodes that share the same engines, stepped together on virtual time.
class WeightWorld {
 public:
  WeightWorld(size_t nodeCount, size_t engineCount) : engines(clock) {
    for (size_t index = 0; index < engineCount; ++index) {
      engines.engines["e" + std::to_string(index)] = {};
    }
    for (size_t index = 0; index < nodeCount; ++index) {
      nodes.push_back(std::make_unique<TestNode>("n" + std::to_string(index), clock, store, engines,
                                                 index + 1));
      nodes.back()->backends.replaceAll(listings(), clock.now());
    }
  }

  void setDesiredVersion(uint64_t version) {
    for (const auto& node : nodes) {
      node->desired.note("m", version, clock.now(), clock.now());
    }
  }
  /// Advances the time; each live node sees ledger changes as through its watch.
  void run(Duration length) {
    const Time end = clock.now() + length;
    while (clock.now() < end) {
      for (const auto& node : nodes) {
        if (node->isAlive) {
          if (!store.isDown) {
            if (node->place.followsLedger) {
              node->view.take(store.ledger, clock.now());
            }
            noteListedVersions(*node);
          }
          node->mover.step(node->place);
        }
      }
      clock.advance(std::chrono::milliseconds(20));
    }
  }
  /// Restarts the engine under its id with its initial weights; it lists itself again.
  void restartEngine(const std::string& name, int64_t startedAt) {
    engines.engines[name] = {};
    engines.engines[name].startedAt = startedAt;
    for (const auto& node : nodes) {
      BackendListing listing = *node->backends.find(name);
      listing.startedAt = startedAt;
      listing.weights = {HeldWeights{"m", 1}};
      node->backends.update(listing, clock.now());
    }
  }
  size_t enginesAt(uint64_t version) {
    size_t count = 0;
    for (const auto& entry : engines.engines) {
      count += engines.versionOf(entry.first) == version ? 1 : 0;
    }
    return count;
  }
  TestNode* leader() {
    for (size_t index = 0; index < nodes.size(); ++index) {
      if ("n" + std::to_string(index) == store.ledger.holder) {
        return nodes[index].get();
      }
    }
    return nullptr;
  }

  TestClock clock;
  TestStore store;
  TestEngines engines;
  std::vector<std::unique_ptr<TestNode>> nodes;

 private:
  /// Engines list their weights as soon as they have loaded them.
  void noteListedVersions(TestNode& node) {
    for (const auto& entry : engines.engines) {
      if (engines.silent.count(entry.first) == 0) {
        node.backends.noteWeights(entry.first, "m", engines.versionOf(entry.first));
      }
    }
  }
  std::vector<BackendListing> listings() {
    std::vector<BackendListing> all;
    for (const auto& entry : engines.engines) {
      BackendListing listing;
      listing.id = entry.first;
      listing.pool = "pool";
      listing.weights.push_back(HeldWeights{"m", 1});
      all.push_back(listing);
    }
    return all;
  }
};

}  // namespace fernmoor::weights::test
