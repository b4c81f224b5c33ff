/// @file
/// The emulated model engine: continuous batching, prefix cache with eviction, late events and
/// lagging load, on time that the caller passes in. The stand-in process serves it over HTTP; the
/// simulator runs hundreds of them on its virtual clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "common/time.h"
#include "engine/cache_event.h"
#include "engine/engine_state.h"
#include "prefix/block_chain.h"

namespace fernmoor::standin {

/// Speeds and sizes of one engine.
struct EngineOptions {
  EngineId id;
  ModelId model;
  WeightsVersion weightsVersion{1};
  Incarnation incarnation{1};
  double prefillTokensPerSecond = 20000;
  Duration tokenInterval{25000};     ///< Between tokens of a stream while the batch is small.
  int64_t batchSlots = 32;           ///< Streams decoded at once.
  int64_t cacheBlocks = 8192;        ///< Prefix blocks held at most; least recently used go first.
  int64_t resumableAttempts = 256;   ///< Ended or broken-off attempts kept for resuming.
  Duration eventDelay{200000};       ///< Between a cache change and its event.
  Duration loadLag{250000};          ///< Age of the reported load.
  Duration weightsLoadTime{500000};  ///< Of one order to load weights.
  uint64_t seed = 1;
  std::vector<AdapterId> adapters;  ///< Loaded from the start.
  EngineRole role = EngineRole::kMixed;
  /// Tokens in a frame after the first; 0: only a first frame of one token and a last one.
  int64_t tokensPerFrame = 1;
  bool emitText = true;        ///< False: frames count tokens but carry no text.
  int64_t keptEvents = 16384;  ///< Cache events kept for readers that come late.
};

/// A request as it reaches the engine.
struct EngineRequest {
  AttemptId attempt;
  RequestId request;
  TenantId tenant;
  ModelId model;
  AdapterId adapter;
  Incarnation placedIncarnation;  ///< 0: not checked.
  WeightsVersion placedWeights;   ///< 0: not checked.
  int64_t priority = 5;
  std::string prompt;
  int64_t firstPosition = 0;  ///< Output tokens already delivered elsewhere.
  int64_t maxTokens = 16;     ///< Length of the whole answer, the delivered part included.
};

/// A piece of one attempt's output.
struct EngineFrame {
  AttemptId attempt;
  int64_t position = 0;  ///< Position of its first token in the whole answer.
  std::string text;      ///< One or more tokens; empty in a frame that only ends.
  int64_t tokens = 0;
  bool end = false;  ///< True in the last frame only.
  int64_t promptTokens = 0;
  int64_t cachedTokens = 0;  ///< Prompt tokens that were not recomputed.
  Time at;                   ///< When it was produced.
};

using fernmoor::CacheEvent;
using fernmoor::CacheEventBatch;
using fernmoor::CacheEventKind;

class EngineModel {
 public:
  explicit EngineModel(EngineOptions options);
  ~EngineModel();
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  /// Takes a request, or says why not: kWrongIncarnation, kWrongWeights, kUnavailable (loading),
  /// kNotFound (model). A refused request did not run. Doubled attempt ids are kConflict.
  Result<Done> submit(const EngineRequest& request, Time now);
  /// Stops an attempt and frees its place. Unknown attempts are ignored.
  void cancel(const AttemptId& attempt, Time now);
  /// Makes the engine repeat an attempt's output from a position, running or ended; the kept part
  /// comes in one frame. Unknown attempts are kNotFound, positions not yet reached kInvalidRequest.
  Result<Done> resume(const AttemptId& attempt, int64_t position, Time now);

  /// Runs the batch up to `now`.
  /// @return the frames produced since the last call, in order.
  std::vector<EngineFrame> advance(Time now);
  /// @return when advance() will next have something; none while idle.
  std::optional<Time> nextChange() const;

  /// Cache events after `sequence` whose delay has passed.
  CacheEventBatch events(uint64_t sequence, Time now) const;
  /// @return when an event after `sequence` is or becomes visible; none if there is none.
  std::optional<Time> nextEventVisible(uint64_t sequence) const;
  uint64_t lastEventSequence() const;
  /// Load as it was loadLag ago.
  EngineLoad load(Time now) const;
  /// @return how many leading blocks of the chain are cached right now (the oracle's view).
  int64_t matchedBlocks(const std::vector<BlockHash>& chain) const;

  /// Copies blocks out of, or into, the cache (export and import of KV).
  /// @return the blocks that are held here.
  std::vector<BlockHash> exportBlocks(const std::vector<BlockHash>& blocks) const;
  void importBlocks(const std::vector<BlockHash>& blocks, Time now);

  /// Carries out a fenced order to serve a model, adapter and weights version. While they load,
  /// new requests are refused and those inside are finished.
  /// @return kConflict where a higher token was seen already.
  Result<Done> order(FencingToken token, const ModelId& model, const AdapterId& adapter,
                     WeightsVersion weights, EngineRole role, Time now);

  /// @return how many loads orders have begun; tells whether an order began one.
  uint64_t loadsBegun() const;
  /// Sets when the loading under way ends, where the weight store decides that.
  void setLoadingUntil(Time until);

  /// Faults. A crash loses all attempts, the cache and the highest fencing token, and starts a new
  /// incarnation with the model, adapters, weights and role of the first options.
  void crash(Time now);
  void freezeUntil(Time until);    ///< Produces nothing until then.
  void dropEvents(int64_t count);  ///< Loses the next events, leaving a gap.

  /// @return the options in force: orders and crashes change model, adapters, weights version,
  /// role and incarnation.
  const EngineOptions& options() const;
  Incarnation incarnation() const;
  WeightsVersion weightsVersion() const;
  EngineStatus status(Time now) const;
  FencingToken highestFencingToken() const;
  /// @return tokens prefilled since the start, all incarnations together; for reports.
  int64_t prefilledTokens() const;
  /// @return true while the attempt waits, is in prefill or is being decoded.
  bool isRunning(const AttemptId& attempt) const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace fernmoor::standin
