#include "bench/engine_fleet.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace fernmoor::bench {

struct EngineFleet::Engine {
  explicit Engine(const standin::EngineOptions& options) : model(options) {}

  standin::EngineModel model;
  std::optional<Time> wakeAt;  ///< Of the scheduled wake-up that counts.
};

namespace {

constexpr uint64_t kGapSeed = 0x6761;

standin::EngineOptions engineOptions(const FleetSpec& spec, const StalenessOptions& staleness,
                                     uint64_t seed, int64_t index) {
  standin::EngineOptions options;
  options.id = EngineId("engine-" + std::to_string(index));
  options.model = spec.model;
  options.prefillTokensPerSecond = spec.prefillTokensPerSecond;
  options.tokenInterval = spec.tokenInterval;
  options.batchSlots = spec.batchSlots;
  options.cacheBlocks = spec.cacheBlocks;
  options.eventDelay = staleness.perfect ? Duration(0) : staleness.age;
  options.loadLag = staleness.perfect ? Duration(0) : staleness.age;
  options.emitText = false;
  options.seed = seed * 1000 + static_cast<uint64_t>(index);
  return options;
}

}  // namespace

EngineFleet::EngineFleet(const FleetSpec& spec, const StalenessOptions& staleness, uint64_t seed,
                         sim::EventQueue& queue, FrameHandler handler)
    : spec_(spec),
      staleness_(staleness),
      random_(seed ^ kGapSeed),
      queue_(queue),
      handler_(std::move(handler)) {
  for (int64_t index = 0; index < spec.engines; ++index) {
    engines_.push_back(std::make_unique<Engine>(engineOptions(spec, staleness, seed, index)));
    scheduleGap(static_cast<size_t>(index));
  }
}

EngineFleet::~EngineFleet() = default;

int64_t EngineFleet::zoneOf(size_t engine) const {
  return static_cast<int64_t>(engine) % spec_.zones;
}

Result<Done> EngineFleet::submit(size_t engine, const standin::EngineRequest& request) {
  run(engine);
  Result<Done> taken = engines_[engine]->model.submit(request, queue_.now());
  run(engine);
  return taken;
}

void EngineFleet::cancel(size_t engine, const AttemptId& attempt) {
  run(engine);
  engines_[engine]->model.cancel(attempt, queue_.now());
  run(engine);
}

void EngineFleet::crash(size_t engine) {
  run(engine);
  engines_[engine]->model.crash(queue_.now());
}

EngineState EngineFleet::state(size_t engine) {
  const standin::EngineModel& model = engines_[engine]->model;
  EngineState state;
  state.id = model.options().id;
  state.zone = ZoneId("zone-" + std::to_string(zoneOf(engine)));
  state.incarnation = model.incarnation();
  state.model = model.options().model;
  state.weightsVersion = model.weightsVersion();
  state.load = model.load(queue_.now());
  return state;
}

CacheEventBatch EngineFleet::events(size_t engine, uint64_t after) const {
  return engines_[engine]->model.events(after, queue_.now());
}

int64_t EngineFleet::cachedBlocks(size_t engine, const BlockChain& chain) const {
  return engines_[engine]->model.matchedBlocks(chain.hashes);
}

int64_t EngineFleet::mostCachedBlocks(const BlockChain& chain) const {
  int64_t most = 0;
  for (size_t engine = 0; engine < engines_.size(); ++engine) {
    most = std::max(most, cachedBlocks(engine, chain));
  }
  return most;
}

/// Lets the engine work up to now, hands out what it produced, and schedules its next wake-up.
void EngineFleet::run(size_t index) {
  for (const standin::EngineFrame& frame : engines_[index]->model.advance(queue_.now())) {
    handler_(index, frame);
  }
  wakeWhenNeeded(index);
}

void EngineFleet::wakeWhenNeeded(size_t index) {
  Engine& engine = *engines_[index];
  const std::optional<Time> next = engine.model.nextChange();
  if (!next || (engine.wakeAt && *engine.wakeAt <= *next && *engine.wakeAt > queue_.now())) {
    return;
  }
  engine.wakeAt = next;
  queue_.schedule(*next, [this, index, at = *next] {
    if (engines_[index]->wakeAt == at) {
      engines_[index]->wakeAt.reset();
      run(index);
    }
  });
}

void EngineFleet::scheduleGap(size_t index) {
  if (staleness_.perfect || staleness_.gapEvery <= Duration(0)) {
    return;
  }
  const Duration delay = fromSeconds(random_.exponential(toSeconds(staleness_.gapEvery)));
  queue_.scheduleAfter(delay, [this, index] {
    engines_[index]->model.dropEvents(staleness_.gapEvents);
    scheduleGap(index);
  });
}

}  // namespace fernmoor::bench
