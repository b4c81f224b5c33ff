/// @file
/// The emulated model engines of an experiment, and what they tell of themselves: late cache events
/// with gaps, and load reports that lag. Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "bench/workload_file.h"
#include "common/random.h"
#include "engine/cache_event.h"
#include "engine/engine_state.h"
#include "sim/event_queue.h"
#include "standin/engine_model.h"

namespace fernmoor::bench {

/// How far the routers' knowledge lags behind the engines.
struct StalenessOptions {
  Duration age{500000};         ///< Delay of cache events and age of load reports.
  bool perfect = false;         ///< Views and load are read from the engines themselves.
  Duration gapEvery{20000000};  ///< Mean time between gaps in one engine's events; 0: none.
  int64_t gapEvents = 50;       ///< Events lost in one gap.
};

/// Takes the frames that an engine produced. Called on the queue's thread.
using FrameHandler = std::function<void(size_t engine, const standin::EngineFrame& frame)>;

class EngineFleet {
 public:
  /// @param queue outlives the fleet.
  EngineFleet(const FleetSpec& spec, const StalenessOptions& staleness, uint64_t seed,
              sim::EventQueue& queue, FrameHandler handler);
  ~EngineFleet();
  EngineFleet(const EngineFleet&) = delete;
  EngineFleet& operator=(const EngineFleet&) = delete;

  size_t size() const { return engines_.size(); }
  /// @return the zone's number, from 0.
  int64_t zoneOf(size_t engine) const;

  /// Hands a request to an engine now.
  Result<Done> submit(size_t engine, const standin::EngineRequest& request);
  /// Stops an attempt now.
  void cancel(size_t engine, const AttemptId& attempt);
  /// Crashes an engine, which comes back empty with its next incarnation.
  void crash(size_t engine);

  /// @return what the engine's latest report says.
  EngineState state(size_t engine);
  /// @return cache events after the sequence number that have arrived by now.
  CacheEventBatch events(size_t engine, uint64_t after) const;
  /// @return whether routers are to read the caches themselves, as an oracle would.
  bool isPerfect() const { return staleness_.perfect; }
  /// @return leading blocks that are cached at this moment.
  int64_t cachedBlocks(size_t engine, const BlockChain& chain) const;
  /// @return the most leading blocks that any one engine holds at this moment.
  int64_t mostCachedBlocks(const BlockChain& chain) const;

 private:
  struct Engine;

  void wakeWhenNeeded(size_t index);
  void run(size_t index);
  void scheduleGap(size_t index);

  FleetSpec spec_;
  StalenessOptions staleness_;
  Random random_;
  sim::EventQueue& queue_;
  FrameHandler handler_;
  std::vector<std::unique_ptr<Engine>> engines_;
};

}  // namespace fernmoor::bench
