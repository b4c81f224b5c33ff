/// @file
/// The continuous batch of an emulated engine: a queue in priority order, chunked prefill, and
/// decode steps that all running streams share. Time goes in steps; a step prefills as many tokens
/// as fit in the time of one decode step, as in A. Agrawal et al., "Taming Throughput-Latency
/// Tradeoff in LLM Inference with Sarathi-Serve", OSDI 2024. Not thread-safe.
#pragma once

#include <deque>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "standin/answer.h"
#include "standin/engine_cache.h"
#include "standin/engine_model.h"
#include "standin/load_history.h"

namespace fernmoor::standin {

class EngineBatch {
 public:
  /// All three must outlive the batch.
  EngineBatch(const EngineOptions& options, EngineCache& cache, LoadHistory& history);

  /// @return true while the attempt is inside or kept for resuming.
  bool knows(const AttemptId& attempt) const { return attempts_.count(attempt) != 0; }
  bool isRunning(const AttemptId& attempt) const;
  /// Queues a request whose attempt id is not known.
  void add(const EngineRequest& request, Time now);
  void cancel(const AttemptId& attempt, Time now);
  Result<Done> resume(const AttemptId& attempt, int64_t position, Time now);
  /// Appends the frames produced up to `now`.
  void runTo(Time now, std::vector<EngineFrame>& frames);
  std::optional<Time> nextChange() const;
  /// Forgets all attempts.
  void clear(Time now);
  void freezeUntil(Time until) { frozenUntil_ = until; }
  EngineLoad currentLoad() const;
  int64_t prefilledTokens() const { return prefilledTokens_; }

 private:
  enum class Phase { kWaiting, kPrefill, kDecode, kEnded };
  struct Attempt {
    AttemptId id;
    Phase phase = Phase::kWaiting;
    int64_t priority = 0;
    uint64_t arrival = 0;
    std::vector<BlockHash> chain;  ///< Emptied after prefill.
    int64_t cacheGeneration = 0;
    AnswerKey answer;
    int64_t prefillLeft = 0;  ///< An estimate while the attempt waits.
    int64_t position = 0;     ///< Tokens produced, those delivered elsewhere included.
    int64_t framed = 0;       ///< Tokens that went out in frames.
    int64_t firstPosition = 0;
    int64_t maxTokens = 0;
    int64_t promptTokens = 0;
    int64_t cachedTokens = 0;
  };
  /// Lower priority number first, then first come.
  struct ServiceOrder {
    bool operator()(const Attempt* a, const Attempt* b) const {
      return a->priority != b->priority ? a->priority < b->priority : a->arrival < b->arrival;
    }
  };
  using Queue = std::set<Attempt*, ServiceOrder>;
  struct PrefillChunk {
    Attempt* attempt;
    int64_t tokens;
  };
  /// One iteration of the batch, or several equal ones in which no frame is due.
  struct Step {
    Time start;
    Duration interval{0};
    int64_t iterations = 1;
    std::vector<PrefillChunk> chunks;
    Time end() const { return start + interval * iterations; }
  };

  Duration decodeInterval(size_t streams) const;
  void admitWaiting();
  void beginPrefill(Attempt& attempt);
  void startStep(Time now);
  void planPrefill(Step& step);
  int64_t iterationsUntilFrame() const;
  void cutStepShort(Time now);
  void finishStep(std::vector<EngineFrame>& frames);
  void decode(int64_t tokens, Time now, std::vector<EngineFrame>& frames);
  void finishPrefill(Attempt& attempt, Time now, std::vector<EngineFrame>& frames);
  bool frameIsDue(const Attempt& attempt) const;
  void emitFrame(Attempt& attempt, Time now, std::vector<EngineFrame>& frames);
  void emitRepeats(std::vector<EngineFrame>& frames);
  void end(Attempt& attempt);
  void removeFromStages(Attempt& attempt);
  Time notFrozen(Time time) const { return std::max(time, frozenUntil_); }

  const EngineOptions& options_;
  EngineCache& cache_;
  LoadHistory& history_;
  std::unordered_map<AttemptId, std::unique_ptr<Attempt>> attempts_;
  Queue waiting_;
  Queue prefilling_;
  std::vector<Attempt*> decoding_;
  std::deque<AttemptId> ended_;    ///< Oldest first; some may be forgotten already.
  std::vector<AttemptId> repeat_;  ///< Their kept output goes out with the next frames.
  Time repeatAt_;
  std::optional<Step> step_;
  Time frozenUntil_;
  uint64_t arrivals_ = 0;
  int64_t queuedPrefillTokens_ = 0;
  int64_t prefilledTokens_ = 0;
};

}  // namespace fernmoor::standin
