/// @file
/// Threads that follow engines: state and load every quarter of a second, cache events as they
/// come. One thread for each followed engine.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "common/knobs.h"
#include "engine/engine_client.h"
#include "engine/engine_directory.h"
#include "engine/owned_engines.h"

namespace fernmoor {

/// Thread-safe.
class EngineMonitor {
 public:
  EngineMonitor(EngineClient& client, EngineDirectory& directory, OwnedEngines& owned,
                const Clock& clock, const Knobs& knobs);
  ~EngineMonitor();

  /// Follows exactly these engines from now on; threads of others are ended.
  void follow(const std::vector<EngineState>& engines);
  /// Ends all threads. Idempotent.
  void stop();

 private:
  /// One followed engine.
  struct Follower {
    std::atomic<bool> stopping{false};
    std::thread thread;
  };

  void run(const Follower& follower, EngineState known);
  /// @return whether the engine answered.
  bool followOnce(EngineState& known);

  EngineClient& client_;
  EngineDirectory& directory_;
  OwnedEngines& owned_;
  const Clock& clock_;
  const Knobs knobs_;
  std::mutex mutex_;
  std::map<EngineId, std::unique_ptr<Follower>> followers_;
};

}  // namespace fernmoor
