#include "standin/engine_model.h"

#include <algorithm>

#include "standin/engine_batch.h"
#include "standin/engine_cache.h"
#include "standin/load_history.h"

namespace fernmoor::standin {

namespace {

Error refusal(ErrorKind kind, std::string message) {
  return Error{kind, std::move(message), RunState::kNotRun, std::nullopt};
}

bool contains(const std::vector<AdapterId>& adapters, const AdapterId& adapter) {
  return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

}  // namespace

class EngineModel::Implementation {
 public:
  explicit Implementation(EngineOptions given)
      : initialOptions(std::move(given)),
        options(initialOptions),
        cache(options),
        history(options.loadLag),
        batch(options, cache, history) {
    history.record(batch.currentLoad(), Time());
  }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  std::optional<Error> reasonToRefuse(const EngineRequest& request, Time now) const {
    if (request.placedIncarnation != Incarnation() &&
        request.placedIncarnation != options.incarnation) {
      return refusal(ErrorKind::kWrongIncarnation,
                     "The engine restarted since. Place the request anew.");
    }
    if (now < loadingUntil) {
      return refusal(ErrorKind::kUnavailable,
                     "The engine is loading weights. Place the request on another engine.");
    }
    if (request.model != options.model ||
        (!request.adapter.empty() && !contains(options.adapters, request.adapter))) {
      return refusal(ErrorKind::kNotFound,
                     "The engine does not hold this model and adapter. Place the request anew.");
    }
    if (request.placedWeights != WeightsVersion() &&
        request.placedWeights != options.weightsVersion) {
      return refusal(ErrorKind::kWrongWeights,
                     "The engine serves other weights. Place the request anew.");
    }
    if (batch.knows(request.attempt)) {
      return Error{ErrorKind::kConflict,
                   "This attempt id is in use. Resume it, or send the request under a new one.",
                   RunState::kRan, std::nullopt};
    }
    return std::nullopt;
  }

  void load(const ModelId& model, WeightsVersion weights, Time now) {
    ++loadsBegun;
    loadingUntil = now + options.weightsLoadTime;
    if (model == options.model && weights == options.weightsVersion) {
      return;  // Only an adapter came; the blocks of the others stay right.
    }
    options.model = model;
    options.weightsVersion = weights;
    options.adapters.clear();
    cache.clear(now);
  }

  const EngineOptions initialOptions;
  EngineOptions options;
  EngineCache cache;
  LoadHistory history;
  EngineBatch batch;
  FencingToken highestToken;
  Time loadingUntil;
  uint64_t loadsBegun = 0;
};

EngineModel::EngineModel(EngineOptions options)
    : implementation_(std::make_unique<Implementation>(std::move(options))) {}
EngineModel::~EngineModel() = default;

Result<Done> EngineModel::submit(const EngineRequest& request, Time now) {
  if (const auto refused = implementation_->reasonToRefuse(request, now)) {
    return *refused;
  }
  implementation_->batch.add(request, now);
  return Done{};
}

void EngineModel::cancel(const AttemptId& attempt, Time now) {
  implementation_->batch.cancel(attempt, now);
}

Result<Done> EngineModel::resume(const AttemptId& attempt, int64_t position, Time now) {
  return implementation_->batch.resume(attempt, position, now);
}

std::vector<EngineFrame> EngineModel::advance(Time now) {
  std::vector<EngineFrame> frames;
  implementation_->batch.runTo(now, frames);
  return frames;
}

std::optional<Time> EngineModel::nextChange() const {
  return implementation_->batch.nextChange();
}

CacheEventBatch EngineModel::events(uint64_t sequence, Time now) const {
  CacheEventBatch batch = implementation_->cache.log().after(sequence, now);
  batch.incarnation = implementation_->options.incarnation;
  return batch;
}

std::optional<Time> EngineModel::nextEventVisible(uint64_t sequence) const {
  return implementation_->cache.log().nextVisible(sequence);
}

uint64_t EngineModel::lastEventSequence() const {
  return implementation_->cache.log().lastSequence();
}

EngineLoad EngineModel::load(Time now) const {
  return implementation_->history.at(now);
}

int64_t EngineModel::matchedBlocks(const std::vector<BlockHash>& chain) const {
  return implementation_->cache.blocks().matchedBlocks(chain);
}

std::vector<BlockHash> EngineModel::exportBlocks(const std::vector<BlockHash>& blocks) const {
  std::vector<BlockHash> held;
  for (const BlockHash block : blocks) {
    if (implementation_->cache.blocks().contains(block)) {
      held.push_back(block);
    }
  }
  return held;
}

void EngineModel::importBlocks(const std::vector<BlockHash>& blocks, Time now) {
  implementation_->cache.store(blocks, now);
}

Result<Done> EngineModel::order(FencingToken token, const ModelId& model, const AdapterId& adapter,
                                WeightsVersion weights, EngineRole role, Time now) {
  Implementation& engine = *implementation_;
  if (token < engine.highestToken) {
    return refusal(ErrorKind::kConflict,
                   "A newer owner gave orders since. Read who owns the engine now.");
  }
  engine.highestToken = token;
  engine.options.role = role;
  const bool sameWeights =
      model == engine.options.model && weights == engine.options.weightsVersion;
  const bool newAdapter = !adapter.empty() && !contains(engine.options.adapters, adapter);
  if (!sameWeights || newAdapter) {
    engine.load(model, weights, now);
  }
  if (!adapter.empty() && !contains(engine.options.adapters, adapter)) {
    engine.options.adapters.push_back(adapter);
  }
  return Done{};
}

uint64_t EngineModel::loadsBegun() const {
  return implementation_->loadsBegun;
}

void EngineModel::setLoadingUntil(Time until) {
  implementation_->loadingUntil = until;
}

void EngineModel::crash(Time now) {
  Implementation& engine = *implementation_;
  const Incarnation next(engine.options.incarnation.value() + 1);
  engine.options = engine.initialOptions;
  engine.options.incarnation = next;
  engine.highestToken = FencingToken();
  engine.batch.clear(now);
  engine.cache.restart(now);
  engine.loadingUntil = Time();
  ++engine.loadsBegun;  // Nobody waits for the former one any more.
}

void EngineModel::freezeUntil(Time until) {
  implementation_->batch.freezeUntil(until);
}

void EngineModel::dropEvents(int64_t count) {
  implementation_->cache.log().dropNext(count);
}

const EngineOptions& EngineModel::options() const {
  return implementation_->options;
}
Incarnation EngineModel::incarnation() const {
  return implementation_->options.incarnation;
}
WeightsVersion EngineModel::weightsVersion() const {
  return implementation_->options.weightsVersion;
}

EngineStatus EngineModel::status(Time now) const {
  return now < implementation_->loadingUntil ? EngineStatus::kLoading : EngineStatus::kLive;
}

FencingToken EngineModel::highestFencingToken() const {
  return implementation_->highestToken;
}

int64_t EngineModel::prefilledTokens() const {
  return implementation_->batch.prefilledTokens();
}

bool EngineModel::isRunning(const AttemptId& attempt) const {
  return implementation_->batch.isRunning(attempt);
}

}  // namespace fernmoor::standin
