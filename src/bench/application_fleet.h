/// @file
/// The application engines of an experiment: each runs a bounded number of requests at once, for a
/// fixed time, and queues the rest in order of arrival. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "bench/workload_file.h"
#include "sim/event_queue.h"

namespace fernmoor::bench {

class ApplicationFleet {
 public:
  /// @param queue outlives the fleet.
  ApplicationFleet(const FleetSpec& spec, sim::EventQueue& queue);

  /// @return the engine with the fewest requests.
  size_t leastBusy() const;
  /// Runs a request on an engine.
  /// @param completed called when it is done.
  void submit(size_t engine, std::function<void()> completed);

 private:
  struct Engine {
    int64_t running = 0;
    std::queue<std::function<void()>> waiting;
  };

  void start(size_t engine, std::function<void()> completed);
  void finish(size_t engine);

  Duration serviceTime_;
  int64_t concurrency_;
  sim::EventQueue& queue_;
  std::vector<Engine> engines_;
};

}  // namespace fernmoor::bench
